#ifndef SASSAFRASWICK_CORE_BOOT_CLOCK_H_
#define SASSAFRASWICK_CORE_BOOT_CLOCK_H_

#include <chrono>
#include <ctime>

/// @file
/// Monotonic clock that includes the time during which the host is suspended.

namespace sassafraswick {

/// Clock over `CLOCK_BOOTTIME`. Leases and grants expire by it, because a host
/// that was suspended must find them expired when it resumes.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The standard's `Clock` requirements prescribe the next two names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // NOLINTNEXTLINE(readability-identifier-naming)
  [[nodiscard]] static time_point now() noexcept {
    std::timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_BOOT_CLOCK_H_
