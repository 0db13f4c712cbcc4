#ifndef TEST_SUPPORT_FAULT_SCHEDULE_H_
#define TEST_SUPPORT_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "test/support/fleet.h"
#include "test/support/history.h"
#include "test/support/workload.h"

/// @file
/// Seeded sequences of faults over a running fleet.

namespace test_support {

enum class fault_kind : std::uint8_t {
  kPausePrimary,
  kKillPrimary,
  kPauseReplica,
  /// Replication towards one replica is swallowed.
  kCutReplication,
  /// The primary's answers to the proxies are swallowed.
  kMutePrimary,
  /// The proxies cannot reach the primary, its replicas can.
  kHidePrimary,
  /// The primary loses its replicas, the proxies still reach it.
  kIsolatePrimary,
  kPauseProxy,
  kKillProxy,
  kStoreOutage,
  kSlowReplica,
  kJitter,
};

/// One fault and how long it lasts.
struct fault_event {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds length{0};
  fault_kind kind = fault_kind::kStoreOutage;
};

/// Draws faults; an instance is killed at most once.
[[nodiscard]] std::vector<fault_event> GenerateSchedule(
    std::uint64_t seed, std::chrono::milliseconds length);

[[nodiscard]] std::string FaultName(fault_kind kind);

/// What one run of a schedule showed.
struct schedule_report {
  std::string faults;
  violation_counts violations;
  workload_counts operations;
};

/// Starts a fleet, runs a schedule under load, heals and checks.
[[nodiscard]] schedule_report RunSchedule(std::uint64_t seed,
                                          const fleet_options& options,
                                          std::chrono::milliseconds length);

}  // namespace test_support

#endif  // TEST_SUPPORT_FAULT_SCHEDULE_H_
