#include <catch2/catch.hpp>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/failover/replacement.h"
#include "test/sassafraswick/failover/replacement_builder.h"

// Which instance is chosen, and when, if none is proved to have all writes.

namespace sassafraswick {
namespace {

/// Records that a replica paused replication for a term.
void Pause(replacement_state& state, instance_health& health, int now) {
  health.requested_at = At(now);
  health.status->paused_term = state.term;
  RecordFenced(
      state, {},
      {replacement_action_kind::kPauseReplication, health.id, state.term},
      *health.status, At(now));
}

/// Returns a group in which `b` has just been promoted to term 2 with 15
/// entries; `a` and `c` have 10 and 11 entries of term 1.
group_health JustPromoted() {
  group_health group = {Instance("a", false, 10, At(2100)),
                        Instance("b", true, 15, At(2100)),
                        Instance("c", false, 11, At(2100))};
  group[1].status->term = 2;
  group[1].status->received.term = 2;
  return group;
}

/// Lets `b` crash, and `a` and `c` be fenced.
void CrashPromoted(replacement_state& state, group_health& group) {
  group[1].silent_since = At(2200);
  group[1].refused_since = At(2200);
  group[1].refused_at = At(2400);
  REQUIRE(Contains(AdvanceHeard(state, group, At(2450)),
                   replacement_action_kind::kPauseReplication, "c"));
  Pause(state, group[0], 2455);
  Pause(state, group[2], 2460);
  REQUIRE(AdvanceHeard(state, group, At(2500)).size() <= 1);
  REQUIRE(state.phase == replacement_phase::kWaiting);
}

// Guards against: a primary that crashed before any replica had joined its term
// counted as one that had confirmed nothing, though it alone had what it had
// confirmed as a replica.
TEST_CASE("no replica is proved before one has joined the primary's term",
          "[replacement][unproved]") {
  replacement_state state = Watching();
  group_health group = JustPromoted();
  CHECK_FALSE(Promotes(Advance(state, group, 2100, 2150)));
  SECTION("none has") {
    CrashPromoted(state, group);
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 12'000)));
    SECTION("the primary that returns leads again") {
      group[1].silent_since.reset();
      group[1].refused_since.reset();
      group[1].requested_at = At(12'000);
      CHECK_FALSE(Promotes(Advance(state, group, 12'000, 14'000)));
      CHECK(state.phase == replacement_phase::kWatching);
    }
    SECTION("the most advanced is promoted once the primary is given up") {
      CHECK(Contains(Advance(state, group, 12'000, 13'000),
                     replacement_action_kind::kPromote, "c"));
      CHECK(state.proof == choice_proof::kUnproved);
    }
  }
  SECTION("one that still lacks what the primary had has not") {
    group[2].status = instance_status{2, false, {2, 3}, 0};
    CHECK_FALSE(Promotes(Advance(state, group, 2150, 2200)));
    CrashPromoted(state, group);
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 12'000)));
  }
  SECTION("one has") {
    group[2].status = instance_status{2, false, {2, 15}, 0};
    CHECK_FALSE(Promotes(Advance(state, group, 2150, 2200)));
    CrashPromoted(state, group);
    CHECK(Contains(Advance(state, group, 2500, 3050),
                   replacement_action_kind::kPromote, "c"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
}

TEST_CASE("a new holder waits for a primary whose term no replica has joined",
          "[replacement][unproved]") {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  group_health group = JustPromoted();
  group[1].silent_since = At(1900);
  group[1].refused_since = At(1900);
  group[1].refused_at = At(2400);
  CHECK(AdvanceHeard(state, group, At(1900)).empty());
  CrashPromoted(state, group);
  CHECK_FALSE(Promotes(Advance(state, group, 2500, 12'000)));
}

/// Returns a fenced group: `a` is silent, `b` has more than `c`, and `d`, which
/// may have confirmed writes that only `a` has besides, has left.
replacement_state FencedWithoutMember(group_health& group) {
  replacement_state state = Watching();
  group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 11, 2470);
  state.members[{"d", At(0)}].left_at = At(2000);
  CHECK(state.phase == replacement_phase::kWaiting);
  return state;
}

// Guards against: a primary that had the only full log was not awaited, as
// another member had left long before the primary fell silent.
TEST_CASE("the choice without proof waits for a primary that is away",
          "[replacement][unproved]") {
  group_health group;
  replacement_state state = FencedWithoutMember(group);
  group[0].silent_since = At(9000);
  SECTION("as it is silent") {
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 18'950)));
    CHECK(Contains(Advance(state, group, 18'950, 19'100),
                   replacement_action_kind::kPromote, "b"));
    CHECK(state.proof == choice_proof::kUnproved);
  }
  SECTION("as it refuses connections") {
    group[0].refused_since = At(9500);
    group[0].refused_at = At(9500);
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 19'450)));
    CHECK(Promotes(Advance(state, group, 19'450, 19'600)));
  }
  SECTION("but not for one whose process has ended") {
    group[0].replaced = true;
    CHECK(Promotes(Advance(state, group, 2500, 12'100)));
  }
}

// Guards against: an instance without all writes was promoted while the primary
// that had stepped down ran, and was only cut off from the holder.
TEST_CASE("a silent primary that stepped down is ordered before any other",
          "[replacement][unproved]") {
  group_health group;
  replacement_state state = FencedWithoutMember(group);
  RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
               instance_status{1, false, {1, 20}, 0}, At(2600));
  CHECK_FALSE(Promotes(Advance(state, group, 2650, 11'950)));
  SECTION("if it may run") {
    REQUIRE(Contains(Advance(state, group, 11'950, 12'050),
                     replacement_action_kind::kPromote, "a"));
    CHECK(state.proof == choice_proof::kOldPrimary);
    CHECK(MaySendOrder(state, group, kSettings, At(12'060)));
    RecordPromoted(state, {replacement_action_kind::kPromote, "a", 2},
                   order_result::kNotRunning, At(12'070));
    CHECK(Contains(Advance(state, group, 12'100, 12'150),
                   replacement_action_kind::kPromote, "b"));
    CHECK(state.proof == choice_proof::kUnproved);
  }
  SECTION("not if it refuses connections") {
    group[0].refused_since = At(2100);
    group[0].refused_at = At(2100);
    CHECK(Contains(Advance(state, group, 11'950, 12'150),
                   replacement_action_kind::kPromote, "b"));
  }
  SECTION("not if it is no longer listed") {
    group[0].listed = false;
    CHECK(Contains(Advance(state, group, 11'950, 12'050),
                   replacement_action_kind::kPromote, "b"));
  }
}

// Guards against: an instance was ordered while the old primary was back and
// led, and an instance that had just started confirmed its writes.
TEST_CASE("no instance is ordered before a primary that is back steps down",
          "[replacement]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 11, 2465);
  RecordPause(state, group, 2, 12, 2470);
  // It answered another request; its status is still that of before.
  group[0].silent_since.reset();
  CHECK_FALSE(Promotes(Advance(state, group, 2950, 3100)));
  SECTION("it leads again") {
    group[0].requested_at = At(3100);
    CHECK_FALSE(Promotes(Advance(state, group, 3150, 3200)));
    CHECK(state.phase == replacement_phase::kWatching);
  }
  SECTION("it steps down") {
    group[0].status = instance_status{1, false, {1, 12}, 0};
    RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
                 *group[0].status, At(3110));
    CHECK(Contains(Advance(state, group, 3150, 3200),
                   replacement_action_kind::kPromote, "c"));
    CHECK(state.proof == choice_proof::kHasPrimaryLog);
  }
  SECTION("it is silent again") {
    group[0].silent_since = At(3110);
    CHECK(Contains(Advance(state, group, 3150, 3200),
                   replacement_action_kind::kPromote, "c"));
  }
}

// A replacement would only keep its replicas from joining.
TEST_CASE(
    "a primary that leaves is replaced once a replica has joined its term",
    "[replacement][unproved]") {
  replacement_state state = Watching();
  group_health group = JustPromoted();
  group[1].leaving = true;
  CHECK_FALSE(Contains(Advance(state, group, 2100, 2400),
                       replacement_action_kind::kStepDown, "b"));
  group[2].status = instance_status{2, false, {2, 15}, 0};
  CHECK(Contains(Advance(state, group, 2400, 2500),
                 replacement_action_kind::kStepDown, "b"));
}

}  // namespace
}  // namespace sassafraswick
