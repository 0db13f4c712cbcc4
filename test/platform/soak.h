#ifndef TEST_PLATFORM_SOAK_H_
#define TEST_PLATFORM_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "test/support/history.h"

/// @file
/// Soak test: runs gateways as real processes under seeded faults and checks
/// the history that their callers recorded.

namespace test_platform {

/// Result of the run of one seed.
struct soak_report {
  /// Each fault as `NAME@START+DURATION`, times in ms.
  std::string faults;
  test_support::violation_counts violations;
  std::uint64_t writes_done = 0;
  std::uint64_t writes_not_run = 0;
  std::uint64_t writes_unknown = 0;
  std::uint64_t reads_done = 0;
  std::uint64_t reads_failed = 0;
  /// Promotions that were requested, and those that took effect over a second
  /// late.
  std::uint64_t orders = 0;
  std::uint64_t late_orders = 0;
  /// Each stale read, and the directory of the logs if the run failed.
  std::string details;
  /// Gateways that served no write within the recovery timeout after the
  /// faults.
  std::uint64_t stuck_gateways = 0;

  [[nodiscard]] bool Passed() const {
    return violations.Total() == 0 && stuck_gateways == 0;
  }
};

/// Starts three gateways, injects the seed's faults under load, ends all of
/// them and checks that every gateway serves again and that the history is
/// consistent.
/// @param fault_period Time within which faults start.
[[nodiscard]] soak_report RunSoak(std::uint64_t seed,
                                  std::chrono::milliseconds fault_period);

/// Formats a report as one line.
[[nodiscard]] std::string Describe(const soak_report& report);

}  // namespace test_platform

#endif  // TEST_PLATFORM_SOAK_H_
