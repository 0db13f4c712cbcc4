#include "sassafraswick/failover/successor_choice.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/replacement_builder.h"

// What is known to have been acknowledged bounds the choice.

namespace sassafraswick {
namespace {

// Guards against: an instance without acknowledged commits was promoted though
// the primary had stepped down and responded; what had confirmed them was not
// listed yet. Seen with: deploy/days/cut-primary-unlisted-replica.toml.
TEST_CASE("a primary that stepped down with the only known copy leads again",
          "[replacement][acknowledged]") {
  group_health group;
  replacement_state state = CutOffAndSteppedDown(group);
  state.list_read_at = At(2300);
  state.acknowledged = {1, 11};
  SECTION("as soon as another would") {
    CHECK_FALSE(Promotes(AdvanceResponsive(state, group, 2100, 2550)));
    const std::vector<replacement_action> actions =
        AdvanceResponsive(state, group, 2550, 2650);
    CHECK(Contains(actions, replacement_action_kind::kPromote, "a"));
    CHECK(state.proof == choice_proof::kOldPrimary);
  }
  SECTION("unless one that is listed then has it") {
    group.push_back(Instance("d", false, 20, At(2400)));
    group.back().status->paused_term = state.term;
    CHECK(Contains(AdvanceResponsive(state, group, 2400, 2650),
                   replacement_action_kind::kPromote, "d"));
    CHECK(state.proof == choice_proof::kHasPrimaryLog);
  }
  SECTION("later if one that may have it has not answered") {
    instance_health joined;
    joined.id = "d";
    group.push_back(joined);
    CHECK_FALSE(Promotes(AdvanceResponsive(state, group, 2400, 3550)));
    CHECK(Contains(AdvanceResponsive(state, group, 3550, 3650),
                   replacement_action_kind::kPromote, "a"));
  }
  SECTION("but not if the others lack nothing acknowledged") {
    state.acknowledged = {1, 10};
    CHECK(Contains(AdvanceResponsive(state, group, 2100, 2650),
                   replacement_action_kind::kPromote, "b"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
}

// Guards against: the same after a crash, or with a primary that is silent.
TEST_CASE("an instance behind an acknowledged commit is not proved",
          "[replacement][acknowledged]") {
  group_health group;
  replacement_state state = Fenced(group);
  SECTION("one that has it is ordered as soon as ever") {
    state.acknowledged = {1, 12};
    CHECK(Contains(AdvanceHeard(state, group, At(2970)),
                   replacement_action_kind::kPromote, "c"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
  SECTION("one that lacks it isn't before the others are given up") {
    state.acknowledged = {1, 13};
    for (int now = 2500; now < 12'450; now += 50) {
      REQUIRE_FALSE(Promotes(AdvanceHeard(state, group, At(now))));
    }
    CHECK(Contains(AdvanceHeard(state, group, At(12'500)),
                   replacement_action_kind::kPromote, "c"));
    CHECK(state.proof == choice_proof::kUnproved);
  }
  SECTION("one that is listed late and has it is ordered then") {
    state.acknowledged = {1, 13};
    CHECK_FALSE(Promotes(AdvanceHeard(state, group, At(3500))));
    group.push_back(Instance("d", false, 13, At(4000)));
    CHECK_FALSE(Promotes(AdvanceHeard(state, group, At(4000))));
    RecordPause(state, group, 3, 13, 4010);
    CHECK(Contains(AdvanceHeard(state, group, At(4520)),
                   replacement_action_kind::kPromote, "d"));
    CHECK(state.proof == choice_proof::kMostAdvanced);
  }
}

TEST_CASE("other hosts are asked what they passed on once the fence holds",
          "[replacement][acknowledged]") {
  group_health group;
  replacement_state state = Watching();
  CHECK_FALSE(AwaitsAcknowledged(state, kSettings, time_point(), At(2000)));
  group = FenceUnresponsivePrimary(state);
  CHECK_FALSE(AwaitsAcknowledged(state, kSettings, time_point(), At(2460)));
  RecordPause(state, group, 1, 11, 2465);
  RecordPause(state, group, 2, 12, 2470);
  CHECK(AwaitsAcknowledged(state, kSettings, At(2460), At(2500)));
  CHECK_FALSE(AwaitsAcknowledged(state, kSettings, At(2500), At(2700)));
  CHECK(AwaitsAcknowledged(state, kSettings, At(2500), At(2750)));
}

}  // namespace
}  // namespace sassafraswick
