#include <catch2/catch.hpp>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/replacement.h"
#include "test/sassafraswick/failover/replacement_builder.h"

// Another process may run under an instance's identifier. What was known of the
// earlier one must not be taken for the later one's.

namespace sassafraswick {
namespace {

/// Marks an instance as stopped: its port refuses connections.
void Stop(instance_health& instance, int now) {
  instance.refused_since = At(now);
  instance.refused_at = At(now);
}

/// Returns a fenced group: the primary is gone, `b` and `c` have paused.
replacement_state Fenced(group_health& group, log_position b, log_position c) {
  replacement_state state = Watching();
  group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, b, 2465);
  RecordPause(state, group, 2, c, 2470);
  CHECK(state.phase == replacement_phase::kWaiting);
  return state;
}

/// Advances a replacement without new statuses.
std::vector<replacement_action> Advance(replacement_state& state,
                                        const group_health& group, int from,
                                        int to) {
  constexpr int kTick = 50;
  std::vector<replacement_action> all;
  for (int now = from; now < to; now += kTick) {
    const std::vector<replacement_action> actions =
        AdvanceReplacement(state, group, kSettings, At(now));
    all.insert(all.end(), actions.begin(), actions.end());
  }
  return all;
}

// Guards against: a replica that had crashed after it paused was promoted by
// the position of then, with the empty log of its next start. Seen with:
// review/11.
TEST_CASE("a replica that stopped after it paused is not promoted",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  Stop(group[1], 2600);
  const std::vector<replacement_action> actions =
      Advance(state, group, 2650, 3100);
  CHECK_FALSE(Contains(actions, replacement_action_kind::kPromote, "b"));
  CHECK(Contains(actions, replacement_action_kind::kPromote, "c"));
}

TEST_CASE("a replica is not promoted while one that stopped may have more",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 11);
  Stop(group[1], 2600);
  CHECK_FALSE(Contains(Advance(state, group, 2650, 9000),
                       replacement_action_kind::kPromote, "c"));
}

// Guards against: the pause and the position of a process were taken for those
// of the next one under its identifier. Seen with: review/11.
TEST_CASE("a replica that started again is fenced and heard anew",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  instance_health started;
  started.id = "b";
  started.seen_since = At(2700);
  group[1] = started;
  const std::vector<replacement_action> actions =
      Advance(state, group, 2750, 2800);
  CHECK(Contains(actions, replacement_action_kind::kPauseReplication, "b"));
  RecordPause(state, group, 1, 0, 2800);
  const std::vector<replacement_action> then =
      Advance(state, group, 2850, 3450);
  CHECK_FALSE(Contains(then, replacement_action_kind::kPromote, "b"));
  CHECK(Contains(then, replacement_action_kind::kPromote, "c"));
}

}  // namespace
}  // namespace sassafraswick
