#ifndef TEST_SASSAFRASWICK_FAILOVER_REPLACEMENT_BUILDER_H_
#define TEST_SASSAFRASWICK_FAILOVER_REPLACEMENT_BUILDER_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sassafraswick/failover/replacement.h"

/// @file
/// Builds groups and replacements in given states for tests.

namespace sassafraswick {

inline const replacement_settings kSettings;

inline time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

inline instance_health Instance(const std::string& id, bool is_primary,
                                log_position received,
                                time_point requested_at) {
  instance_health health;
  health.id = id;
  health.requested_at = requested_at;
  health.status = instance_status{1, is_primary, {1, received}, 0};
  return health;
}

/// Returns a group in which `a` is primary of term 1 and all have ten entries.
inline group_health Healthy(int now) {
  return {Instance("a", true, 10, At(now)), Instance("b", false, 10, At(now)),
          Instance("c", false, 10, At(now))};
}

/// Returns a state that observed a healthy group beyond the observation period.
/// The store answers each read of the list of instances at once.
inline replacement_state Watching() {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  CHECK(AdvanceReplacement(state, Healthy(0), kSettings, At(0)).empty());
  CHECK(AdvanceReplacement(state, Healthy(2000), kSettings, At(2000)).empty());
  return state;
}

inline bool Contains(const std::vector<replacement_action>& actions,
                     replacement_action_kind kind,
                     const std::string& instance) {
  return std::any_of(
      actions.begin(), actions.end(), [&](const replacement_action& action) {
        return action.kind == kind && action.instance == instance;
      });
}

/// Lets the replicas that respond answer a status request once more, as they do
/// during a replacement.
inline void Hear(group_health& group, time_point now) {
  for (instance_health& instance : group) {
    const bool is_replica =
        instance.status.has_value() && !instance.status->is_primary;
    if (is_replica && !instance.silent_since.has_value() &&
        !instance.refused_since.has_value()) {
      instance.requested_at =
          std::max(instance.requested_at, now - std::chrono::milliseconds(1));
    }
  }
}

/// Advances a replacement while the replicas respond.
inline std::vector<replacement_action> AdvanceHeard(replacement_state& state,
                                                    group_health& group,
                                                    time_point now) {
  if (state.phase != replacement_phase::kWatching) {
    Hear(group, now);
  }
  return AdvanceReplacement(state, group, kSettings, now);
}

/// Advances a replacement while the replicas that respond keep their status.
inline std::vector<replacement_action> Advance(replacement_state& state,
                                               group_health& group, int from,
                                               int to) {
  constexpr int kTick = 50;
  std::vector<replacement_action> all;
  for (int now = from; now < to; now += kTick) {
    const std::vector<replacement_action> actions =
        AdvanceHeard(state, group, At(now));
    all.insert(all.end(), actions.begin(), actions.end());
  }
  return all;
}

inline bool Promotes(const std::vector<replacement_action>& actions) {
  return std::any_of(actions.begin(), actions.end(),
                     [](const replacement_action& action) {
                       return action.kind == replacement_action_kind::kPromote;
                     });
}

/// Returns the group after its primary became unresponsive and fencing started.
inline group_health FenceUnresponsivePrimary(replacement_state& state) {
  group_health group = Healthy(2000);
  group[0].silent_since = At(2000);
  CHECK_FALSE(AdvanceReplacement(state, group, kSettings, At(2460)).empty());
  return group;
}

/// Records that a replica paused replication for term 2.
inline void RecordPause(replacement_state& state, group_health& group,
                        std::size_t index, log_position received, int now) {
  instance_health& health = group.at(index);
  health.requested_at = At(now);
  health.status = instance_status{1, false, {1, received}, 2};
  RecordFenced(state, group,
               {replacement_action_kind::kPauseReplication, health.id, 2},
               *health.status, At(now));
}

/// Returns a state in which `b` and `c` paused with 11 and 12 entries, as `a`
/// does not respond.
inline replacement_state Fenced(group_health& group) {
  replacement_state state = Watching();
  group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 11, 2465);
  RecordPause(state, group, 2, 12, 2470);
  return state;
}

/// Returns a state in which the promotion of `c` was requested at 3000 ms.
inline replacement_state Promoting(group_health& group) {
  replacement_state state = Fenced(group);
  const std::vector<replacement_action> promote =
      AdvanceHeard(state, group, At(3000));
  CHECK(Contains(promote, replacement_action_kind::kPromote, "c"));
  return state;
}

/// Advances a replacement while all instances respond.
inline std::vector<replacement_action> AdvanceResponsive(
    replacement_state& state, group_health& group, int from, int to) {
  constexpr int kTick = 50;
  std::vector<replacement_action> all;
  for (int now = from; now < to; now += kTick) {
    for (instance_health& instance : group) {
      instance.requested_at = At(now - 1);
    }
    const std::vector<replacement_action> actions =
        AdvanceReplacement(state, group, kSettings, At(now));
    all.insert(all.end(), actions.begin(), actions.end());
  }
  return all;
}

/// Returns a state in which the primary has been stepped down at 2,060 ms,
/// since its replicas lack its last ten entries.
inline replacement_state CutOffAndSteppedDown(group_health& group) {
  replacement_state state;
  group = Healthy(0);
  CHECK(AdvanceHeard(state, group, At(0)).empty());
  group[0].status->received = {1, 20};
  CHECK(Contains(AdvanceResponsive(state, group, 500, 2050),
                 replacement_action_kind::kStepDown, "a"));
  CHECK(state.cause == replacement_cause::kCutOff);
  group[0].status = instance_status{1, false, {1, 20}, 0};
  RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
               *group[0].status, At(2060));
  return state;
}

}  // namespace sassafraswick

#endif  // TEST_SASSAFRASWICK_FAILOVER_REPLACEMENT_BUILDER_H_
