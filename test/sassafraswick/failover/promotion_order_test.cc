#include "sassafraswick/failover/promotion_order.h"

#include <catch2/catch.hpp>

#include "sassafraswick/failover/order_record.h"
#include "test/sassafraswick/failover/replacement_builder.h"

namespace sassafraswick {
namespace {

/// Returns the actions while the first replica that was ordered, `c`, and all
/// others respond as replicas.
std::vector<replacement_action> AwaitEffect(replacement_state& state,
                                            group_health& group, int until) {
  return AdvanceResponsive(state, group, 3050, until);
}

std::size_t CountPromotions(const std::vector<replacement_action>& actions,
                            const std::string& instance) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(),
                    [&instance](const replacement_action& action) {
                      return action.kind == replacement_action_kind::kPromote &&
                             action.instance == instance;
                    }));
}

/// Lets an instance lead a term.
void Lead(group_health& group, std::size_t index, term_number term, int now) {
  group.at(index).status = instance_status{
      term, true, {term, group.at(index).status->received.position}, 0};
  group.at(index).requested_at = At(now);
}

/// Lets replicas answer step-downs, as they do at once, also if they are busy.
void AnswerStepDowns(replacement_state& state, const group_health& group,
                     const std::vector<replacement_action>& actions, int now) {
  for (const replacement_action& action : actions) {
    if (action.kind == replacement_action_kind::kStepDown &&
        action.instance != state.primary) {
      RecordFenced(state, group, action,
                   instance_status{1, false, {1, 12}, action.term}, At(now));
    }
  }
}

// Guards against: an order was taken for void as its instance said that it is a
// replica, another was promoted, and the order took effect then. Seen with:
// simulation with late orders, seed 1039.
TEST_CASE("a replica that was ordered is ordered again, and no other",
          "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  // The other replica is as advanced now.
  group[1].status->received = group[2].status->received;
  const std::vector<replacement_action> actions =
      AwaitEffect(state, group, 12'500);
  // Each `promotion_timeout`, and the wait for the primary lease.
  CHECK(CountPromotions(actions, "c") == 3);
  CHECK(CountPromotions(actions, "b") == 0);
}

TEST_CASE(
    "an order counts until its lifetime after the last request has passed",
    "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  (void)AwaitEffect(state, group, 12'500);
  REQUIRE(state.order.has_value());
  const time_point last_sent_at = state.order->sent_at;
  (void)AdvanceReplacement(
      state, group, kSettings,
      last_sent_at + kSettings.order_lifetime - std::chrono::milliseconds(1));
  CHECK(state.order.has_value());
  (void)AdvanceReplacement(state, group, kSettings,
                           last_sent_at + kSettings.order_lifetime);
  CHECK(state.last_order_end == order_end::kTimedOut);
}

// Guards against: an order that is requested twice is forgotten with the effect
// of the first request, and the second replaces a later primary.
TEST_CASE("each request of an order is awaited", "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  REQUIRE(CountPromotions(AwaitEffect(state, group, 6500), "c") == 1);
  Lead(group, 2, 2, 6500);
  (void)AdvanceReplacement(state, group, kSettings, At(6550));
  CHECK(state.phase == replacement_phase::kWatching);
  REQUIRE(state.order.has_value());
  CHECK(state.order->requests == 1);

  SECTION("so that another instance does not succeed it meanwhile") {
    group[2].silent_since = At(7000);
    group[0] = Instance("a", false, 12, At(7000));
    const std::vector<replacement_action> actions =
        AdvanceResponsive(state, group, 7050, 9000);
    CHECK(CountPromotions(actions, "a") == 0);
    CHECK(CountPromotions(actions, "b") == 0);
  }
  SECTION("until it took effect") {
    Lead(group, 2, 3, 7000);
    (void)AdvanceReplacement(state, group, kSettings, At(7050));
    CHECK_FALSE(state.order.has_value());
    CHECK(state.last_order_end == order_end::kTookEffect);
  }
}

// Guards against: the next holder of the failover lease promotes another
// instance than the one that the holder before it ordered.
TEST_CASE("an order of an earlier holder is given again, and no other",
          "[replacement][order]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  InheritOrder(state, "b", 1, At(2460));
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);

  SECTION("if its instance has every acknowledged write") {
    const std::vector<replacement_action> actions =
        AdvanceResponsive(state, group, 2500, 3500);
    CHECK(CountPromotions(actions, "b") == 1);
    CHECK(CountPromotions(actions, "c") == 0);
  }
  SECTION("otherwise none is given while it may take effect") {
    group[2].status->received = {1, 13};
    state.paused["c"].received = {1, 13};
    CHECK(CountPromotions(AdvanceResponsive(state, group, 2500, 12'400), "c") ==
          0);
    CHECK(CountPromotions(AdvanceResponsive(state, group, 12'450, 13'500),
                          "c") == 1);
  }
}

TEST_CASE("nothing is ordered before the orders of earlier holders are known",
          "[replacement][order]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  state.awaits_earlier_orders = true;
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);
  CHECK(CountPromotions(AdvanceResponsive(state, group, 2500, 4000), "b") == 0);
  state.awaits_earlier_orders = false;
  CHECK(CountPromotions(AdvanceResponsive(state, group, 4000, 4200), "b") == 1);
}

// Guards against: a primary that is back while an order of the holder before
// may take effect acknowledges writes that its effect discards.
TEST_CASE("a primary beside an order for another is fenced",
          "[replacement][order]") {
  replacement_state state = Watching();
  InheritOrder(state, "b", 1, At(2000));
  const group_health group = Healthy(2050);
  const std::vector<replacement_action> actions =
      AdvanceReplacement(state, group, kSettings, At(2100));
  CHECK(state.cause == replacement_cause::kUnsettledOrder);
  CHECK(Contains(actions, replacement_action_kind::kStepDown, "a"));
}

TEST_CASE("a request that is known to have no effect is not awaited",
          "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  const replacement_action order = {replacement_action_kind::kPromote, "c", 2};
  SECTION("if it is the only one") {
    RecordPromoted(state, order, order_result::kNotExecuted, At(3010));
    CHECK_FALSE(state.order.has_value());
    CHECK(state.last_order_end == order_end::kNotExecuted);
  }
  SECTION("if it has no record, and is decided again") {
    RecordPromoted(state, order, order_result::kNotRecorded, At(3010));
    CHECK_FALSE(state.order.has_value());
    CHECK(state.phase == replacement_phase::kWaiting);
    const std::vector<replacement_action> actions =
        AdvanceReplacement(state, group, kSettings, At(3060));
    CHECK(CountPromotions(actions, "c") == 1);
  }
  SECTION("unlike those before it") {
    RecordPromoted(state, order, order_result::kUnknown, At(3800));
    REQUIRE(CountPromotions(AwaitEffect(state, group, 6500), "c") == 1);
    RecordPromoted(state, order, order_result::kNotRunning, At(6510));
    REQUIRE(state.order.has_value());
    CHECK(state.order->requests == 1);
  }
}

TEST_CASE("records of orders are read back", "[replacement][order]") {
  promotion_order order;
  order.instance = "i-7f 3";
  order.requests = 2;
  const std::optional<order_record> read =
      ParseOrderRecord(FormatOrderRecord(order));
  REQUIRE(read.has_value());
  CHECK(read->instance == order.instance);
  CHECK(read->requests == order.requests);
  for (const char* const text : {"", " ", "1", "1 ", "0 i-1", "-1 i-1", "x i-1",
                                 "1x i-1", "99999999999 i-1"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseOrderRecord(text).has_value());
  }
}

// Guards against: an order ended with its instance's entry, which also expires
// while the instance is cut off from the store only.
TEST_CASE("an order outlives the expiry of its instance's entry",
          "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  group[1].status->received = group[2].status->received;
  CHECK(CountPromotions(AwaitEffect(state, group, 6500), "c") == 1);
  // As `target_group::Remove` and `ApplyEvacuation` leave it. It still answers.
  group[2].listed = false;
  group[2].leaving = true;
  const std::vector<replacement_action> actions =
      AdvanceResponsive(state, group, 6500, 10'000);
  CHECK(state.order.has_value());
  CHECK(CountPromotions(actions, "b") == 0);
}

// Guards against: the same as its entry is not in the new holder's list.
TEST_CASE("an inherited order outlives a list that lacks its instance",
          "[replacement][order]") {
  replacement_state state = Watching();
  group_health group = Healthy(2000);
  InheritOrder(state, "d", 1, At(2000));
  (void)AdvanceReplacement(state, group, kSettings, At(2050));
  CHECK(state.order.has_value());
}

// Guards against: an inherited order for the primary that had stepped down
// ended by a status from before.
TEST_CASE("a status from before an inherited order is no effect of it",
          "[replacement][order]") {
  replacement_state state;
  state.list_read_at = At(1'000'000);
  // The last status of `a`, as primary of term 1, is from before the order.
  group_health group = Healthy(0);
  InheritOrder(state, "a", 1, At(500));
  (void)AdvanceReplacement(state, group, kSettings, At(550));
  CHECK(state.order.has_value());
  // It has stepped down for the holder before, and announces that it will stop.
  group[0].status->is_primary = false;
  group[0].leaving = true;
  std::vector<replacement_action> actions;
  for (int now = 600; now < 6000; now += 50) {
    for (instance_health& each : group) {
      each.requested_at = At(now - 1);
    }
    const std::vector<replacement_action> next =
        AdvanceReplacement(state, group, kSettings, At(now));
    for (const replacement_action& action : next) {
      for (instance_health& each : group) {
        if (action.kind == replacement_action_kind::kPauseReplication &&
            action.instance == each.id) {
          each.status->paused_term = action.term;
          RecordFenced(state, group, action, *each.status, At(now));
        }
      }
    }
    actions.insert(actions.end(), next.begin(), next.end());
  }
  CHECK(CountPromotions(actions, "b") == 0);
  CHECK(CountPromotions(actions, "c") == 0);
}

// Guards against: an order went to an empty process that ran under the
// identifier since the decision.
TEST_CASE("an order is not sent to a later process of its identifier",
          "[replacement][order]") {
  group_health group;
  replacement_state state = Promoting(group);
  group[2] = Instance("c", false, 0, At(3240));
  group[2].seen_since = At(3200);
  CHECK_FALSE(MaySendOrder(state, group, kSettings, At(3250)));
}

// Guards against: a group without a primary for good, as its instances answer
// later than `heard_within`.
TEST_CASE("a group whose instances answer slowly gets a primary",
          "[replacement][order]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);
  std::vector<replacement_action> actions;
  for (int now = 2500; now < 32'500; now += 50) {
    group[1].requested_at = std::max(group[1].requested_at, At(now - 300));
    group[2].requested_at = std::max(group[2].requested_at, At(now - 300));
    const std::vector<replacement_action> next =
        AdvanceReplacement(state, group, kSettings, At(now));
    AnswerStepDowns(state, group, next, now);
    actions.insert(actions.end(), next.begin(), next.end());
  }
  CHECK(CountPromotions(actions, "b") + CountPromotions(actions, "c") > 0);
}

// Guards against: the same as they answer status requests with BUSY. A
// step-down takes no slot.
TEST_CASE("a group whose paused instances are busy gets a primary",
          "[replacement][order]") {
  replacement_state state = Watching();
  group_health group = FenceUnresponsivePrimary(state);
  RecordPause(state, group, 1, 12, 2465);
  RecordPause(state, group, 2, 12, 2470);
  std::vector<replacement_action> actions;
  for (int now = 2500; now < 32'500; now += 50) {
    const std::vector<replacement_action> next =
        AdvanceReplacement(state, group, kSettings, At(now));
    AnswerStepDowns(state, group, next, now);
    actions.insert(actions.end(), next.begin(), next.end());
  }
  CHECK(CountPromotions(actions, "b") + CountPromotions(actions, "c") > 0);
}

// Guards against: an inherited order was requested again without a wait.
TEST_CASE("an inherited order that was requested again is awaited",
          "[replacement][order]") {
  replacement_state state;
  InheritOrder(state, "b", 1, At(0));
  AddOrder(state, "b", Healthy(100), kSettings, At(100));
  CHECK_FALSE(MayOrder(state, "b", kSettings, At(200)));
}

}  // namespace
}  // namespace sassafraswick
