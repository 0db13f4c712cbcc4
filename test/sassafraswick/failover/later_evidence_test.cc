#include <catch2/catch.hpp>

#include "sassafraswick/failover/replacement.h"
#include "test/sassafraswick/failover/replacement_builder.h"

// Evidence of a later term, or of what it had, that a replacement has at hand.

namespace sassafraswick {
namespace {

/// Returns a state in which the promotion of `c` was requested at 3,000 ms; `b`
/// has as much. `d` paused, too, and is as silent as `c` from then on.
replacement_state PromotingCutOff(group_health& group) {
  replacement_state state = Watching();
  group = FenceUnresponsivePrimary(state);
  group.push_back(Instance("d", false, 10, At(2460)));
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);
  RecordPause(state, group, 3, 12, 2475);
  group[1].silent_since = At(2900);
  CHECK(Contains(Advance(state, group, 2950, 3050),
                 replacement_action_kind::kPromote, "c"));
  group[1].silent_since.reset();
  group[2].silent_since = At(3050);
  group[3].silent_since = At(3050);
  return state;
}

// Guards against: an order took effect out of the holder's sight; 10 s later
// another instance was promoted, and what the ordered one had acknowledged was
// lost.
TEST_CASE("no other is ordered while the ordered instance's entry leads",
          "[replacement][later_evidence]") {
  group_health group;
  replacement_state state = PromotingCutOff(group);
  group[2].claims_primary = true;
  CHECK_FALSE(Contains(Advance(state, group, 3500, 20'000),
                       replacement_action_kind::kPromote, "b"));
}

// Guards against: the same, though another host's step-down was answered by the
// instance that led.
TEST_CASE("a relayed answer of a later term ends a replacement",
          "[replacement][later_evidence]") {
  group_health group;
  replacement_state state = PromotingCutOff(group);
  const instance_status leads{2, true, {2, 15}, 0};
  for (int now = 3500; now < 20'000; now += 500) {
    REQUIRE_FALSE(Contains(Advance(state, group, now, now + 500),
                           replacement_action_kind::kPromote, "b"));
    RecordFenced(state, group,
                 {replacement_action_kind::kStepDown, "c", state.term}, leads,
                 At(now + 499));
  }
}

// Guards against: a primary of the earlier term was ordered though this host
// had passed on commits of a later one.
TEST_CASE("nothing is ordered once a commit of a later term was acknowledged",
          "[replacement][later_evidence]") {
  group_health group;
  replacement_state state = CutOffAndSteppedDown(group);
  state.acknowledged = {2, 13};
  CHECK_FALSE(Promotes(AdvanceResponsive(state, group, 2100, 4000)));
}

// Guards against: with replicas that joined more often than each 10 s, a group
// had no primary for as long as they did.
TEST_CASE("replicas that join do not put off a choice without proof for ever",
          "[replacement][later_evidence]") {
  group_health group;
  replacement_state state = Fenced(group);
  state.acknowledged = {1, 13};
  bool is_promoted = false;
  for (int start = 5000; start < 60'000 && !is_promoted; start += 5000) {
    const std::string id = "n" + std::to_string(start);
    group.push_back(Instance(id, false, 0, At(start)));
    group.back().seen_since = At(start);
    group.back().status->term = 0;
    group.back().status->received = {};
    is_promoted = Promotes(Advance(state, group, start, start + 50));
    group.back().status->paused_term = 2;
    RecordFenced(state, group,
                 {replacement_action_kind::kPauseReplication, id, 2},
                 *group.back().status, At(start + 60));
    is_promoted = is_promoted ||
                  Promotes(Advance(state, group, start + 100, start + 5000));
  }
  CHECK(is_promoted);
}

// Guards against: a replica that had joined a new term, but not yet received
// what the term began with, was promoted as the most advanced one.
TEST_CASE("a later term alone does not prove an instance to a new holder",
          "[joined_term]") {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  group_health group = {Instance("a", true, 0, At(0)),
                        Instance("b", false, 0, At(0)),
                        Instance("c", false, 0, At(0))};
  group[0].status = instance_status{2, true, {2, 20}, 0};
  group[1].status = instance_status{2, false, {2, 3}, 0};
  group[2].status = instance_status{1, false, {1, 20}, 0};
  state.acknowledged = {1, 20};
  CHECK_FALSE(Promotes(AdvanceHeard(state, group, At(0))));
  group[0].refused_since = At(100);
  group[0].refused_at = At(400);
  CHECK_FALSE(Promotes(AdvanceHeard(state, group, At(600))));
  REQUIRE(state.phase == replacement_phase::kFencing);
  for (const std::size_t index : {1U, 2U}) {
    group[index].status->paused_term = state.term;
    group[index].requested_at = At(610);
    RecordFenced(state, group,
                 {replacement_action_kind::kPauseReplication, group[index].id,
                  state.term},
                 *group[index].status, At(620));
  }
  CHECK_FALSE(Contains(Advance(state, group, 650, 3000),
                       replacement_action_kind::kPromote, "b"));
}

/// Returns what a holder knows that is cut off from `b`, which leads term 2,
/// and `d`, which follows it. `a` led term 1, `c` is paused for term 2.
group_health CutOffFromPrimary() {
  group_health group = {
      Instance("a", true, 20, At(0)), Instance("b", false, 20, At(0)),
      Instance("c", false, 20, At(0)), Instance("d", false, 20, At(0))};
  group[1].claims_primary = true;
  group[1].silent_since = At(10);
  group[2].status->paused_term = 2;
  group[3].silent_since = At(10);
  return group;
}

// Guards against: a new holder knew from an old status who had led term 1, and
// took its answer as a replica for a fence, though term 2 had begun.
TEST_CASE("a new holder that is cut off from the primary orders no other",
          "[replacement][later_evidence]") {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  group_health group = CutOffFromPrimary();
  CHECK(AdvanceReplacement(state, group, kSettings, At(20)).empty());
  group[0].status->is_primary = false;
  group[0].requested_at = At(50);
  CHECK_FALSE(Promotes(Advance(state, group, 100, 1000)));
  REQUIRE(state.phase == replacement_phase::kFencing);
  RecordFenced(state, group,
               {replacement_action_kind::kStepDown, "a", state.term},
               *group[0].status, At(1000));
  CHECK_FALSE(Promotes(Advance(state, group, 1050, 4000)));
}

// Guards against: the replica that an earlier holder had paused confirmed the
// writes of the primary that had been replaced.
TEST_CASE("a new holder that is cut off from the primary resumes no replica",
          "[replacement][later_evidence]") {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  group_health group = CutOffFromPrimary();
  CHECK_FALSE(Contains(AdvanceResponsive(state, group, 20, 30),
                       replacement_action_kind::kResumeReplication, "c"));
  std::vector<replacement_action> actions;
  for (int now = 100; now < 2000; now += 50) {
    group[0].requested_at = At(now - 1);
    group[2].requested_at = At(now - 1);
    for (const replacement_action& action :
         AdvanceReplacement(state, group, kSettings, At(now))) {
      actions.push_back(action);
    }
  }
  CHECK_FALSE(
      Contains(actions, replacement_action_kind::kResumeReplication, "c"));
}

}  // namespace
}  // namespace sassafraswick
