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

/// Clock for all expiry times. Its values are only meaningful on this host and
/// are never sent to another. Timers that only wake a coroutine use Asio's
/// steady clock.
using monotonic_clock = boot_clock;
using time_point = monotonic_clock::time_point;
using duration = std::chrono::microseconds;

/// Parses a duration such as `250ms`, `5s`, `2min` or `100us`.
/// @param text Digits followed by a unit.
/// @return The duration, or `error_kind::kInvalidSetting`.
[[nodiscard]] result<duration> ParseDuration(std::string_view text);

/// Formats a duration as an integer of the largest unit that represents it
/// exactly.
[[nodiscard]] std::string FormatDuration(duration value);

/// Converts any duration to floating-point milliseconds, for reports.
template <typename Rep, typename Period>
[[nodiscard]] constexpr double ToMilliseconds(
    std::chrono::duration<Rep, Period> value) noexcept {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_TIME_H_
