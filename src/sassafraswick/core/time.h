#ifndef SASSAFRASWICK_CORE_TIME_H_
#define SASSAFRASWICK_CORE_TIME_H_

#include <chrono>
#include <string>
#include <string_view>

#include "sassafraswick/core/boot_clock.h"
#include "sassafraswick/core/error.h"

/// @file
/// Time types and their text form.

namespace sassafraswick {

/// Clock of one host by which everything expires; its values never travel to
/// another host. Timers that only wake up use Asio's steady clock.
using monotonic_clock = boot_clock;
using time_point = monotonic_clock::time_point;
using duration = std::chrono::microseconds;

/// Parses a duration such as `250ms`, `5s`, `2min` or `100us`.
/// @param text Digits followed by a unit.
/// @return The duration, or `error_kind::kInvalidSetting`.
[[nodiscard]] result<duration> ParseDuration(std::string_view text);

/// Formats a duration with the largest unit that keeps it whole.
[[nodiscard]] std::string FormatDuration(duration value);

/// Converts any duration to floating-point milliseconds, for reports.
template <typename Rep, typename Period>
[[nodiscard]] constexpr double ToMilliseconds(
    std::chrono::duration<Rep, Period> value) noexcept {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_TIME_H_
