#ifndef TEST_SUPPORT_FAULT_SCHEDULE_H_
#define TEST_SUPPORT_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "test/support/fleet.h"
#include "test/support/history.h"
#include "test/support/workload.h"

/// @file
/// Seeded fault schedules on a running fleet.

namespace test_support {

enum class fault_kind : std::uint8_t {
  kPausePrimary,
  kKillPrimary,
  kPauseReplica,
  /// Discards replication data sent to one replica.
  kCutReplication,
  /// Discards what the primary sends to the proxies.
  kMutePrimary,
  /// Discards what the proxies send to the primary; replication continues.
  kHidePrimary,
  /// Stops replication from the primary; the proxies still reach it.
  kIsolatePrimary,
  kPauseProxy,
  kKillProxy,
  kStoreOutage,
  kSlowReplica,
  kJitter,
};

/// A fault, when it begins and how long it lasts.
struct fault_event {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds length{0};
  fault_kind kind = fault_kind::kStoreOutage;
};

/// Generates a random schedule, which kills at most one instance.
[[nodiscard]] std::vector<fault_event> GenerateSchedule(
    std::uint64_t seed, std::chrono::milliseconds length);

[[nodiscard]] std::string FaultName(fault_kind kind);

/// Result of running a schedule.
struct schedule_report {
  std::string faults;
  violation_counts violations;
  workload_counts operations;
};

/// Starts a fleet, runs a schedule under load, removes all faults and checks
/// the recorded history.
[[nodiscard]] schedule_report RunSchedule(std::uint64_t seed,
                                          const fleet_options& options,
                                          std::chrono::milliseconds length);

}  // namespace test_support

#endif  // TEST_SUPPORT_FAULT_SCHEDULE_H_
