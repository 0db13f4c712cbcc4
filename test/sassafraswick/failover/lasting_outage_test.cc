#include <catch2/catch.hpp>

#include "sassafraswick/failover/replacement.h"
#include "test/sassafraswick/failover/replacement_builder.h"

// Failovers that lasted until the instances with the log had left.

namespace sassafraswick {
namespace {

/// Returns a group whose primary `a` stepped down at 2,000 ms without the
/// holder's knowledge. `c` has gone, and does not refuse connections.
group_health SteppedDownUnheard() {
  group_health group = Healthy(2000);
  group[0].status->is_primary = false;
  group[0].status->received = {1, 12};
  group[1].status->received = {1, 12};
  group[2].leaving = true;
  group[2].listed = false;
  group[2].silent_since = At(1500);
  return group;
}

// Guards against: a primary that stepped down after the end of a replacement
// counted as unknown, so that the next replacement waited for all instances,
// also for those that had gone. Seen with: review/12.
TEST_CASE("the process that led last is the primary of an orphaned group",
          "[replacement][lasting_outage]") {
  replacement_state state = Watching();
  group_health group = SteppedDownUnheard();
  const std::vector<replacement_action> fence =
      Advance(state, group, 2050, 2500);
  CHECK(state.cause == replacement_cause::kOrphaned);
  REQUIRE(Contains(fence, replacement_action_kind::kStepDown, "a"));
  const replacement_action step_down = {replacement_action_kind::kStepDown, "a",
                                        2};
  SECTION("it is not waited for, as it does not lead again by itself") {
    CHECK(state.since == At(2050));
  }
  SECTION("its step-down completes the fence, and its log bounds the choice") {
    RecordFenced(state, group, step_down, *group[0].status, At(2510));
    CHECK(state.phase == replacement_phase::kWaiting);
    CHECK_FALSE(Promotes(Advance(state, group, 2550, 3000)));
    CHECK(Contains(Advance(state, group, 3000, 3100),
                   replacement_action_kind::kPromote, "b"));
    CHECK(state.proof == choice_proof::kHasPrimaryLog);
  }
  SECTION("not if it has less than it was known to have") {
    RecordFenced(state, group, step_down, instance_status{1, false, {1, 9}, 0},
                 At(2510));
    CHECK(state.phase == replacement_phase::kFencing);
  }
  SECTION("not if it has forgotten the term") {
    RecordFenced(state, group, step_down, instance_status{0, false, {1, 12}, 0},
                 At(2510));
    CHECK(state.phase == replacement_phase::kFencing);
  }
  SECTION("it is noticed if it leads again") {
    RecordFenced(state, group, step_down, *group[0].status, At(2510));
    group[0].status->is_primary = true;
    group[0].requested_at = At(2600);
    CHECK_FALSE(Promotes(Advance(state, group, 2650, 3200)));
  }
  SECTION("another process under its identifier is one of the others") {
    group[0].seen_since = At(2490);
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 3200)));
    CHECK(state.primary.empty());
    CHECK(state.phase == replacement_phase::kFencing);
  }
}

// Guards against: the next holder of the failover lease did not know who had
// led, although it had passed on what the primary acknowledged. Seen with:
// review/12.
TEST_CASE("a new holder knows a primary that it had responses of",
          "[replacement][lasting_outage]") {
  replacement_state state;
  group_health group = SteppedDownUnheard();
  group[0].led_term = 1;
  SECTION("as the one that it replaces") {
    CHECK(Contains(Advance(state, group, 2050, 2900),
                   replacement_action_kind::kStepDown, "a"));
    CHECK(state.primary == "a");
  }
  SECTION("not once a higher term has begun") {
    group[1].status->term = 2;
    CHECK_FALSE(Contains(Advance(state, group, 2050, 2900),
                         replacement_action_kind::kStepDown, "a"));
    CHECK(state.primary.empty());
  }
}

/// Returns two instances that have started with an empty log, in a group of
/// which nobody else is left.
group_health OnlyEmpty() {
  group_health group = {Instance("d", false, 0, At(2000)),
                        Instance("e", false, 0, At(2000))};
  for (instance_health& instance : group) {
    instance.status->term = 0;
    instance.status->received = log_point();
  }
  return group;
}

/// Advances the replacement of an unknown primary until its fence is complete.
void PauseAll(replacement_state& state, group_health& group, int from) {
  REQUIRE(Contains(Advance(state, group, from, from + 900),
                   replacement_action_kind::kPauseReplication, "e"));
  for (instance_health& instance : group) {
    instance.status->paused_term = state.term;
    RecordFenced(
        state, group,
        {replacement_action_kind::kPauseReplication, instance.id, state.term},
        *instance.status, At(from + 900));
  }
}

// Guards against: a group's term was forgotten with the last instance that knew
// it, and with it that there had been entries, so that an empty instance passed
// as the most advanced. Seen with: review/12.
TEST_CASE("an empty instance is not proved once all others have left",
          "[replacement][lasting_outage]") {
  group_health group = OnlyEmpty();
  SECTION("as the holder remembers") {
    replacement_state state = Watching();
    PauseAll(state, group, 2050);
    CHECK(state.term == 2);
    CHECK_FALSE(Promotes(Advance(state, group, 3000, 9000)));
  }
  SECTION("under a holder that has seen none of them") {
    replacement_state state;
    state.list_read_at = At(1'000'000);
    PauseAll(state, group, 2050);
    CHECK_FALSE(Promotes(Advance(state, group, 3000, 9000)));
  }
  SECTION("but it is if the last primary had no entries either") {
    replacement_state state;
    state.list_read_at = At(1'000'000);
    group[0].status->term = 1;
    group[1].status->term = 1;
    group.push_back(Instance("f", true, 0, At(2000)));
    CHECK(Advance(state, group, 2000, 2050).empty());
    group[2].silent_since = At(2050);
    PauseAll(state, group, 2100);
    CHECK(Promotes(Advance(state, group, 3000, 4000)));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
}

// Guards against: a fence waited for instances that had announced their stop
// and had gone, until they were forgotten 10 s later. Seen with: review/12.
TEST_CASE("a fence does not wait for an instance that has stopped",
          "[replacement][lasting_outage]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  group[2].leaving = true;
  group[2].has_announced_stop = true;
  group[2].listed = false;
  group[2].silent_since = At(2300);
  group[2].refused_since = At(2300);
  RecordPause(state, group, 1, 11, 2465);
  SECTION("but what it may have confirmed counts in the choice") {
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 3500)));
    CHECK(state.phase == replacement_phase::kWaiting);
  }
  SECTION("and orders another if that is bounded") {
    // It has left while the primary led, and `b` has what the primary had then.
    state.members.erase({"c", time_point()});
    group[2].seen_since = At(1);
    state.members[{"c", At(1)}] = {{1, 10}, At(2100), log_point{1, 10}};
    CHECK(Contains(Advance(state, group, 2500, 3100),
                   replacement_action_kind::kPromote, "b"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
  SECTION("it is waited for if it has not announced that") {
    group[2].has_announced_stop = false;
    CHECK_FALSE(Advance(state, group, 2500, 3500).empty());
    CHECK(state.phase == replacement_phase::kFencing);
  }
  SECTION("it is waited for while it is merely silent") {
    group[2].refused_since.reset();
    CHECK_FALSE(Advance(state, group, 2500, 3500).empty());
    CHECK(state.phase == replacement_phase::kFencing);
  }
  SECTION("it is waited for if it has an entry again") {
    group[2].listed = true;
    CHECK_FALSE(Advance(state, group, 2500, 3500).empty());
    CHECK(state.phase == replacement_phase::kFencing);
  }
}

/// Lets an instance announce its stop.
void Leave(instance_health& instance, int now) {
  instance.leaving = true;
  instance.has_announced_stop = true;
  instance.leaving_since = At(now);
}

// Guards against: of the last instances with the log, all about to leave, one
// was ordered that had gone before the order took effect, as it came first and
// the order waited for others, which were paused. Seen with: review/12.
TEST_CASE("of leaving instances the one that stays longest is ordered at once",
          "[replacement][lasting_outage]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  group.push_back(Instance("d", false, 0, At(2460)));
  Leave(group[1], 1000);
  Leave(group[2], 1500);
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);
  SECTION("if nobody who stays can catch up") {
    RecordPause(state, group, 3, 0, 2475);
    CHECK(Contains(Advance(state, group, 2500, 3050),
                   replacement_action_kind::kPromote, "c"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
  SECTION("not while one that stays and has the log may respond") {
    RecordPause(state, group, 3, 12, 2475);
    group[3].silent_since = At(2480);
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 3900)));
    CHECK(Promotes(Advance(state, group, 3900, 4100)));
  }
  SECTION("not while one that stays still receives entries") {
    RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
                 instance_status{1, false, {1, 12}, 0}, At(2480));
    CHECK_FALSE(Promotes(Advance(state, group, 2500, 3900)));
    CHECK(Contains(Advance(state, group, 3900, 4100),
                   replacement_action_kind::kPromote, "c"));
  }
}

}  // namespace
}  // namespace sassafraswick
