#ifndef TEST_PLATFORM_SOAK_H_
#define TEST_PLATFORM_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "test/support/history.h"

/// @file
/// Gateways as real processes under seeded faults, and a check of what their
/// callers saw.

namespace test_platform {

/// What one seed showed.
struct soak_report {
  /// The faults, with their times.
  std::string faults;
  test_support::violation_counts broken;
  std::uint64_t writes_done = 0;
  std::uint64_t writes_not_run = 0;
  std::uint64_t writes_unknown = 0;
  std::uint64_t reads_done = 0;
  std::uint64_t reads_failed = 0;
  /// What is known of each broken promise, and where the logs are.
  std::string details;
  /// Gateways that did not serve a write within the patience after the faults.
  std::uint64_t stuck_gateways = 0;

  [[nodiscard]] bool Kept() const {
    return broken.Total() == 0 && stuck_gateways == 0;
  }
};

/// Starts three gateways, plays the seed's faults under load, heals and checks.
/// @param length Time in which faults begin.
[[nodiscard]] soak_report RunSoak(std::uint64_t seed,
                                  std::chrono::milliseconds length);

/// Says what was found, on one line.
[[nodiscard]] std::string Describe(const soak_report& report);

}  // namespace test_platform

#endif  // TEST_PLATFORM_SOAK_H_
