#ifndef SASSAFRASWICK_CORE_BOOT_CLOCK_H_
#define SASSAFRASWICK_CORE_BOOT_CLOCK_H_

#include <chrono>
#include <ctime>

/// @file
/// Monotonic clock that goes on while the host is suspended.

namespace sassafraswick {

/// `CLOCK_BOOTTIME`. Leases, permits and grants expire by it: a host that was
/// suspended must find them expired when it wakes.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The standard's clock requirements set these two names.
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
