#include "sassafraswick/failover/step_down_relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "sassafraswick/failover/replacement.h"

namespace sassafraswick {
namespace {

const replacement_action kStepDownPrimary{replacement_action_kind::kStepDown,
                                          "a", 2};

/// Returns a state that replaces the primary `a`.
replacement_state Replacing() {
  replacement_state state;
  state.phase = replacement_phase::kFencing;
  state.primary = "a";
  state.term = 2;
  return state;
}

/// Returns a group whose primary `a` does not respond.
group_health WithSilentPrimary() {
  group_health group(2);
  group[0].id = "a";
  group[0].silent_since = time_point(std::chrono::seconds(1));
  group[1].id = "b";
  return group;
}

std::vector<std::string> Hosts(int count) {
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back("h" + std::to_string(i));
  }
  return hosts;
}

// The holder of the failover lease was partitioned from a primary that other
// hosts reached. An instance that joined during the promotion confirmed its
// writes, and the promotion discarded them. Seen with: review/7.
TEST_CASE("other hosts are asked to make a silent primary step down",
          "[step_down_relay]") {
  const replacement_state state = Replacing();
  const group_health group = WithSilentPrimary();
  CHECK(NeedsRelay(state, group, kStepDownPrimary));
  CHECK_FALSE(
      NeedsRelay(state, group, {replacement_action_kind::kStepDown, "b", 2}));
  CHECK_FALSE(NeedsRelay(state, group,
                         {replacement_action_kind::kPauseReplication, "a", 2}));
}

TEST_CASE("no host is asked about a primary that responds or stepped down",
          "[step_down_relay]") {
  replacement_state state = Replacing();
  group_health group = WithSilentPrimary();
  group[0].silent_since.reset();
  CHECK_FALSE(NeedsRelay(state, group, kStepDownPrimary));
  group = WithSilentPrimary();
  RecordFenced(state, group, kStepDownPrimary,
               instance_status{1, false, {1, 20}, 0},
               time_point(std::chrono::seconds(2)));
  CHECK(state.stepped_down_position == log_point{1, 20});
  CHECK_FALSE(NeedsRelay(state, group, kStepDownPrimary));
}

TEST_CASE("all hosts of a small fleet are asked but this one",
          "[step_down_relay]") {
  std::vector<std::string> relays = StepDownRelays("orders", 5, Hosts(7), "h3");
  std::sort(relays.begin(), relays.end());
  CHECK(relays == std::vector<std::string>{"h0", "h1", "h2", "h4", "h5", "h6"});
  CHECK(StepDownRelays("orders", 0, {"h3"}, "h3").empty());
}

// The number of messages must not grow with the fleet.
TEST_CASE("a large fleet is asked a few hosts at a time, others each time",
          "[step_down_relay]") {
  constexpr std::uint64_t kAttempts = 10;
  const std::vector<std::string> hosts = Hosts(1200);
  std::set<std::string> asked;
  for (std::uint64_t attempt = 0; attempt < kAttempts; ++attempt) {
    const std::vector<std::string> relays =
        StepDownRelays("orders", attempt, hosts, "h3");
    CHECK(relays.size() == kStepDownRelays);
    asked.insert(relays.begin(), relays.end());
  }
  CHECK(asked.size() == kAttempts * kStepDownRelays);
  CHECK_FALSE(asked.contains("h3"));
}

}  // namespace
}  // namespace sassafraswick
