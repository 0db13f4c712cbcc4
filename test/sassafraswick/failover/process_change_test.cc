#include <catch2/catch.hpp>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/fence.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/loss_detection.h"
#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/failover/step_down_relay.h"
#include "test/sassafraswick/failover/replacement_builder.h"

// Another process may run under an instance's identifier or at its address.
// What was known of the earlier one must not be taken for the later one's.

namespace sassafraswick {
namespace {

/// Marks an instance as stopped: its port refuses connections.
void Stop(instance_health& instance, int now) {
  instance.refused_since = At(now);
  instance.refused_at = At(now);
}

/// Adds the process that took over an instance's address.
void TakeOver(group_health& group, std::size_t index, const std::string& id,
              bool claims_primary, int now) {
  group[index].replaced = true;
  instance_health started;
  started.id = id;
  started.seen_since = At(now);
  started.claims_primary = claims_primary;
  group.push_back(started);
}

/// Answers a status request for which the process of `TakeOver` was asked.
void Answer(instance_health& instance, const instance_status& status, int now) {
  instance.status = status;
  instance.requested_at = At(now);
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

// Guards against: a replica that had crashed unnoticed after it paused, and ran
// again with an empty log, was promoted by the position of before.
TEST_CASE("a replica that has not just responded is not promoted",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  Hear(group, At(2700));
  SECTION("another with the same log is") {
    group[2].requested_at = At(2990);
    const std::vector<replacement_action> actions =
        AdvanceReplacement(state, group, kSettings, At(3000));
    CHECK_FALSE(Contains(actions, replacement_action_kind::kPromote, "b"));
    CHECK(Contains(actions, replacement_action_kind::kPromote, "c"));
  }
  SECTION("until it responds, at whatever time") {
    CHECK_FALSE(Contains(AdvanceReplacement(state, group, kSettings, At(3000)),
                         replacement_action_kind::kPromote, "b"));
    CHECK_FALSE(Contains(AdvanceReplacement(state, group, kSettings, At(5000)),
                         replacement_action_kind::kPromote, "b"));
    group[1].requested_at = At(4995);
    CHECK(Contains(AdvanceReplacement(state, group, kSettings, At(5050)),
                   replacement_action_kind::kPromote, "b"));
  }
}

// Guards against: a replica that crashed while the record of its order was
// written, and ran again with an empty log, got the order.
TEST_CASE("an order is not sent if its instance responded but no longer does",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  REQUIRE(Contains(Advance(state, group, 2970, 3020),
                   replacement_action_kind::kPromote, "b"));
  CHECK(MaySendOrder(state, group, kSettings, At(3030)));
  SECTION("not heard of since") {
    CHECK_FALSE(MaySendOrder(state, group, kSettings, At(3270)));
    group[1].requested_at = At(3200);
    CHECK(MaySendOrder(state, group, kSettings, At(3270)));
  }
  SECTION("silent") {
    group[1].silent_since = At(3025);
    CHECK_FALSE(MaySendOrder(state, group, kSettings, At(3030)));
  }
  SECTION("its process has ended") {
    group[1].replaced = true;
    CHECK_FALSE(MaySendOrder(state, group, kSettings, At(3030)));
  }
  SECTION("the order was given up") {
    CancelRequest(state);
    CHECK_FALSE(MaySendOrder(state, group, kSettings, At(3030)));
  }
}

// Guards against: a silent replica was ordered that ran again under its
// identifier with an empty log. Seen with: simulation with late orders, seed
// 1076.
TEST_CASE("a silent instance is ordered only if another host hears it",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 11);
  group[1].silent_since = At(2600);
  const replacement_action question = {replacement_action_kind::kStepDown, "b",
                                       2};
  const std::vector<replacement_action> actions =
      Advance(state, group, 2970, 4100);
  CHECK(Contains(actions, replacement_action_kind::kStepDown, "b"));
  CHECK_FALSE(Contains(actions, replacement_action_kind::kPromote, "b"));
  CHECK(NeedsRelay(state, group, question));

  SECTION("with the log that it had") {
    RecordFenced(state, group, question, {1, false, {1, 12}, 2}, At(4100));
    CHECK(Contains(Advance(state, group, 4100, 4150),
                   replacement_action_kind::kPromote, "b"));
    CHECK(MaySendOrder(state, group, kSettings, At(4300)));
  }
  SECTION("not with less") {
    RecordFenced(state, group, question, {1, false, {1, 0}, 0}, At(4100));
    CHECK_FALSE(Contains(Advance(state, group, 4100, 4600),
                         replacement_action_kind::kPromote, "b"));
  }
  SECTION("not long before") {
    RecordFenced(state, group, question, {1, false, {1, 12}, 2}, At(3800));
    CHECK_FALSE(Contains(Advance(state, group, 4100, 4600),
                         replacement_action_kind::kPromote, "b"));
  }
}

// Guards against: an identifier that nobody runs any more kept a group without
// a primary. Seen with: replica-then-domain, replica-then-primary.
TEST_CASE("a process whose address another took over need not be fenced",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 11, 2465);
  TakeOver(group, 2, "c2", false, 2700);
  CHECK(ListUnfenced(state, group) == std::vector<std::string>{"c2"});
  CHECK(Contains(Advance(state, group, 2750, 2800),
                 replacement_action_kind::kPauseReplication, "c2"));
  RecordPause(state, group, 3, 12, 2800);
  CHECK(state.phase == replacement_phase::kWaiting);

  SECTION("whose log is unknown, if it may have started before the loss") {
    CHECK_FALSE(Contains(Advance(state, group, 2850, 9000),
                         replacement_action_kind::kPromote, "b"));
  }
  SECTION("and whose log its next process has, if that started after it") {
    Stop(group[0], 2400);
    Stop(group[2], 2600);
    group[2].successor = "c2";
    CHECK(Contains(Advance(state, group, 2850, 3400),
                   replacement_action_kind::kPromote, "c2"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
  SECTION("and whose log its next process lacks") {
    Stop(group[0], 2400);
    Stop(group[2], 2600);
    group[2].successor = "c2";
    group[3].status->received = {1, 9};
    state.paused["c2"].received = {1, 9};
    CHECK_FALSE(Contains(Advance(state, group, 2850, 9000),
                         replacement_action_kind::kPromote, "b"));
  }
}

// Guards against: the pause of an empty process, whose entry was not known yet,
// bounded what the earlier process had confirmed.
TEST_CASE("a pause behind what a process had is not that process's",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 11);
  CHECK(Advance(state, group, 2500, 2550).empty());
  state.paused["b"] = {{1, 0}, At(2600)};
  instance_health started;
  started.id = "b";
  started.seen_since = At(2700);
  group[1] = started;
  RecordPause(state, group, 1, 0, 2750);
  CHECK_FALSE(Contains(Advance(state, group, 2800, 9000),
                       replacement_action_kind::kPromote, "c"));
}

// Guards against: an instance without proof was promoted right after one that
// had more had stopped, as another had left long before.
TEST_CASE("the choice without proof waits for one that has more",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 11);
  group[1].refused_since = At(14'000);
  group[1].refused_at = At(14'000);
  state.members[{"d", At(0)}].left_at = At(2000);
  const std::vector<replacement_action> early =
      Advance(state, group, 14'050, 23'900);
  CHECK_FALSE(Contains(early, replacement_action_kind::kPromote, "c"));
  CHECK(Contains(Advance(state, group, 23'900, 24'200),
                 replacement_action_kind::kPromote, "c"));
  CHECK(state.proof == choice_proof::kUnproved);
}

// Guards against: the last status of an instance that had left covered what it
// had confirmed itself.
TEST_CASE("what an instance that has left confirmed is not covered by itself",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 11);
  group[1].leaving = true;
  group[1].silent_since = At(2600);
  CHECK(Advance(state, group, 2650, 2700).empty());
  group[1].replaced = true;
  CHECK_FALSE(Contains(Advance(state, group, 2700, 9000),
                       replacement_action_kind::kPromote, "c"));
}

// Guards against: two empty replicas counted as the most advanced of all.
TEST_CASE("an empty instance is not proved where others had entries",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 0, 0);
  CHECK_FALSE(Contains(Advance(state, group, 2970, 9000),
                       replacement_action_kind::kPromote, "b"));
}

// Guards against: a primary that was back with its whole log was stepped down,
// and the group waited for its old identifier. Seen with: replica-then-primary.
TEST_CASE("a primary that is back under another identifier leads again",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 10, 2465);
  Stop(group[2], 2470);
  TakeOver(group, 0, "a2", true, 2700);
  const std::vector<replacement_action> asked =
      Advance(state, group, 2700, 2750);
  CHECK_FALSE(Contains(asked, replacement_action_kind::kStepDown, "a2"));
  Answer(group[3], {1, true, {1, 12}, 0}, 2755);
  const std::vector<replacement_action> actions =
      AdvanceHeard(state, group, At(3000));
  CHECK(state.phase == replacement_phase::kWatching);
  CHECK(Contains(actions, replacement_action_kind::kResumeReplication, "b"));
  CHECK_FALSE(Contains(actions, replacement_action_kind::kStepDown, "a"));
}

TEST_CASE("of two that were primary of a term, the one heard last is it",
          "[replacement][process]") {
  group_health group = Healthy(2000);
  group[0].silent_since = At(2000);
  group.push_back(Instance("a2", true, 12, At(2700)));
  CHECK(FindCurrentPrimary(group)->id == "a2");
}

TEST_CASE("a claim to be the primary that is not confirmed is fenced",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  TakeOver(group, 0, "a2", true, 2700);
  SECTION("once a request is unanswered") {
    CHECK_FALSE(Contains(Advance(state, group, 2700, 3000),
                         replacement_action_kind::kStepDown, "a2"));
    group[3].silent_since = At(2750);
    CHECK(Contains(Advance(state, group, 3000, 3050),
                   replacement_action_kind::kStepDown, "a2"));
  }
  SECTION("after a second") {
    CHECK(Contains(Advance(state, group, 2700, 3800),
                   replacement_action_kind::kStepDown, "a2"));
  }
}

TEST_CASE("a primary that is back during a promotion is fenced",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Promoting(group);
  TakeOver(group, 0, "a2", true, 3040);
  CHECK(Contains(AdvanceHeard(state, group, At(3050)),
                 replacement_action_kind::kStepDown, "a2"));
  Answer(group[3], {1, true, {1, 30}, 0}, 3060);
  const std::vector<replacement_action> actions =
      AdvanceHeard(state, group, At(3100));
  CHECK(state.phase == replacement_phase::kPromoting);
  CHECK(Contains(actions, replacement_action_kind::kStepDown, "a2"));
  CHECK(state.primary == "a2");
}

TEST_CASE("a primary that restarts after it stepped down is fenced again",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = Healthy(2000);
  group[0].leaving = true;
  CHECK(Contains(AdvanceHeard(state, group, At(2050)),
                 replacement_action_kind::kStepDown, "a"));
  Answer(group[0], {1, false, {1, 15}, 0}, 2055);
  RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
               *group[0].status, At(2060));
  CHECK(state.phase == replacement_phase::kWaiting);
  Answer(group[0], {1, true, {1, 15}, 0}, 2400);
  CHECK(Contains(Advance(state, group, 2570, 2620),
                 replacement_action_kind::kStepDown, "a"));
  CHECK(state.phase == replacement_phase::kFencing);
}

// Guards against: the step-down of an empty process under the primary's
// identifier proved that every replica had all writes.
TEST_CASE("a primary that started again empty proves nothing",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  group[1].silent_since = At(2400);
  RecordPause(state, group, 2, 11, 2465);
  const instance_status empty{0, false, {0, 0}, 0};
  const replacement_action step_down{replacement_action_kind::kStepDown, "a",
                                     2};
  SECTION("once its entry is known") {
    instance_health started;
    started.id = "a";
    started.seen_since = At(2700);
    started.highest_term = 1;
    group[0] = started;
    CHECK_FALSE(Contains(Advance(state, group, 2700, 2750),
                         replacement_action_kind::kPromote, "c"));
    Answer(group[0], empty, 2755);
    RecordFenced(state, group, step_down, empty, At(2760));
  }
  SECTION("before its entry is known") {
    RecordFenced(state, group, step_down, empty, At(2760));
  }
  CHECK_FALSE(state.stepped_down_position.has_value());
  CHECK_FALSE(Contains(Advance(state, group, 2800, 9000),
                       replacement_action_kind::kPromote, "c"));
}

TEST_CASE("a primary that stepped down and started again empty is not promoted",
          "[replacement][process]") {
  replacement_state state = Watching();
  group_health group = Healthy(2000);
  group[0].leaving = true;
  CHECK(Contains(AdvanceHeard(state, group, At(2050)),
                 replacement_action_kind::kStepDown, "a"));
  Answer(group[0], {1, false, {1, 15}, 0}, 2055);
  RecordFenced(state, group, {replacement_action_kind::kStepDown, "a", 2},
               *group[0].status, At(2060));
  REQUIRE(state.phase == replacement_phase::kWaiting);
  group[1] = Instance("b", false, 14, At(2400));
  group[2].silent_since = At(2100);
  SECTION("once its entry is known") {
    group[0].status.reset();
    group[0].seen_since = At(2500);
    group[0].highest_term = 1;
  }
  SECTION("before its entry is known") {}
  Answer(group[0], {1, false, {1, 0}, 0}, 2600);
  CHECK_FALSE(Contains(Advance(state, group, 2650, 9000),
                       replacement_action_kind::kPromote, "a"));
}

// Guards against: a replica that had been primary of the term before counted as
// one that confirms no writes.
TEST_CASE(
    "a new holder doesn't take a primary of an earlier term for a later's",
    "[replacement][process]") {
  replacement_state state;
  group_health group = Healthy(0);
  CHECK(Advance(state, group, 0, 100).empty());
  group[0].status = instance_status{2, false, {2, 10}, 0};
  group[1].status = instance_status{2, true, {2, 10}, 0};
  group[2].status = instance_status{2, false, {2, 10}, 0};
  CHECK(Advance(state, group, 150, 1000).empty());
  CHECK(WasTermPrimary(state, ProcessOf(group[1])));
  CHECK_FALSE(WasTermPrimary(state, ProcessOf(group[0])));
}

TEST_CASE("the term of a group does not fall when its instances start again",
          "[replacement][process]") {
  group_health group = Healthy(0);
  group[0].status.reset();
  group[0].highest_term = 5;
  CHECK(HighestTerm(group) == 5);
  CHECK(FindCurrentPrimary(group) == nullptr);
}

TEST_CASE("a status with fewer entries of a term is that of another process",
          "[replacement][process]") {
  const instance_status earlier{2, false, {2, 12}, 0};
  CHECK(IsOtherProcess(earlier, {2, false, {2, 11}, 0}));
  CHECK(IsOtherProcess(earlier, {0, false, {0, 0}, 0}));
  CHECK_FALSE(IsOtherProcess(earlier, {2, false, {2, 12}, 3}));
  // A promotion rolls back what only others had.
  CHECK_FALSE(IsOtherProcess(earlier, {3, false, {3, 11}, 0}));
}

// Guards against: an instance that had been released was ordered every 1.5 s
// while others with the same log ran. Seen with: replica-then-domain.
TEST_CASE("another is chosen at once if the chosen one is not running",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  const std::vector<replacement_action> first =
      Advance(state, group, 2970, 3020);
  REQUIRE(Contains(first, replacement_action_kind::kPromote, "b"));
  RecordPromoted(state, {replacement_action_kind::kPromote, "b", 2},
                 order_result::kNotRunning, At(3025));
  group[2].requested_at = At(3045);
  CHECK(Contains(AdvanceReplacement(state, group, kSettings, At(3050)),
                 replacement_action_kind::kPromote, "c"));
}

TEST_CASE("another is chosen at once if the ordered instance has ended",
          "[replacement][process]") {
  group_health group;
  replacement_state state = Fenced(group, 12, 12);
  REQUIRE(Contains(Advance(state, group, 2970, 3020),
                   replacement_action_kind::kPromote, "b"));
  group[1].replaced = true;
  CHECK(Contains(Advance(state, group, 3050, 3150),
                 replacement_action_kind::kPromote, "c"));
}

/// Returns a state in which the order for `b` had no response.
replacement_state WithUnansweredOrder(group_health& group) {
  replacement_state state = Fenced(group, 12, 12);
  REQUIRE(Contains(Advance(state, group, 2970, 3020),
                   replacement_action_kind::kPromote, "b"));
  RecordPromoted(state, {replacement_action_kind::kPromote, "b", 2},
                 order_result::kUnknown, At(3500));
  return state;
}

// Guards against: a second instance was ordered while the first order could
// still take effect; what the first acknowledged as primary was rolled back.
TEST_CASE("no second instance is ordered while an order may take effect",
          "[replacement][process]") {
  group_health group;
  replacement_state state = WithUnansweredOrder(group);
  group[1].silent_since = At(3100);
  CHECK_FALSE(Contains(Advance(state, group, 3550, 9000),
                       replacement_action_kind::kPromote, "c"));

  SECTION("until its instance has left as it announced") {
    group[1].listed = false;
    group[1].leaving = true;
    group[1].has_announced_stop = true;
    CHECK(Contains(Advance(state, group, 9000, 9700),
                   replacement_action_kind::kPromote, "c"));
  }
  SECTION("while its instance is down, as it may be back in time") {
    Stop(group[1], 9000);
    CHECK_FALSE(Contains(Advance(state, group, 9050, 13'000),
                         replacement_action_kind::kPromote, "c"));
    CHECK(Contains(Advance(state, group, 13'000, 13'700),
                   replacement_action_kind::kPromote, "c"));
  }
  SECTION("while its instance is down and its entry is gone") {
    Stop(group[1], 9000);
    group[1].listed = false;
    CHECK_FALSE(Contains(Advance(state, group, 9050, 13'000),
                         replacement_action_kind::kPromote, "c"));
  }
}

TEST_CASE(
    "a primary that responds again waits for an order that may take effect",
    "[replacement][process]") {
  group_health group;
  replacement_state state = WithUnansweredOrder(group);
  group[0] = Instance("a", true, 12, At(3600));
  const std::vector<replacement_action> actions =
      Advance(state, group, 3650, 3950);
  CHECK(state.phase != replacement_phase::kWatching);
  CHECK(Contains(actions, replacement_action_kind::kStepDown, "a"));
}

// Guards against: a holder that took the lease after an instance had left took
// the best of the others for the most advanced of all.
TEST_CASE("a new holder counts an instance that left shortly before",
          "[replacement][process]") {
  replacement_state state;
  group_health group = Healthy(0);
  group[0].status.reset();
  group[0].silent_since = At(0);
  group[2].status.reset();
  group[2].listed = false;
  group[2].leaving = true;
  CHECK(Advance(state, group, 0, 50).empty());
  group[1].requested_at = At(600);
  CHECK_FALSE(Advance(state, group, 600, 1100).empty());
  RecordPause(state, group, 0, 10, 1110);
  RecordPause(state, group, 1, 11, 1110);
  group.pop_back();
  CHECK_FALSE(Contains(Advance(state, group, 1150, 9000),
                       replacement_action_kind::kPromote, "b"));
  CHECK(Contains(Advance(state, group, 10'000, 11'000),
                 replacement_action_kind::kPromote, "b"));
  CHECK(state.proof == choice_proof::kUnproved);
}

}  // namespace
}  // namespace sassafraswick
