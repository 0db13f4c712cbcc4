#include "sassafraswick/failover/promotion.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

const failover_settings kSettings;

/// Records reports of both replicas with the time since they last received a
/// message from the primary.
void ReportSilence(group_state& group, int now, int silence) {
  for (const instance_index i : {1, 2}) {
    instance_report report = ReportAt(1, 10);
    report.primary_silence = std::chrono::milliseconds(silence);
    RecordReport(group, i, report, At(now), At(now));
  }
}

std::vector<failover_command> Tick(failover_state& state,
                                   const group_state& group, int now,
                                   const peer_view& peers = {}) {
  return AdvanceFailover(state, group, kSettings, peers, At(now), 0);
}

TEST_CASE("a primary that only this host cannot reach is not replaced",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kSilent);
  ReportSilence(group, 1900, 10);
  CHECK(Tick(state, group, 1900).empty());
  ReportSilence(group, 5000, 10);
  peer_view reachable;
  reachable.primary_reachable = true;
  CHECK(Tick(state, group, 5000, reachable).empty());
  CHECK(Tick(state, group, 5001).size() == 3);
}

TEST_CASE("an unresponsive primary is replaced only after the silence timeout",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kSilent);
  ReportSilence(group, 500, 400);
  CHECK(Tick(state, group, 500).empty());
  ReportSilence(group, 700, 650);
  CHECK(Tick(state, group, 700).size() == 3);
}

TEST_CASE("a host's rank delays its promotion attempt", "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kRefused);
  const peer_view third{2, false};
  ReportSilence(group, 300, 300);
  CHECK(Tick(state, group, 300, third).empty());
  ReportSilence(group, 650, 650);
  CHECK(Tick(state, group, 650, third).empty());
  ReportSilence(group, 701, 700);
  CHECK(Tick(state, group, 701, third).size() == 3);
}

TEST_CASE(
    "a promotion waits for leases to expire and picks the most advanced "
    "instance",
    "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kRefused);
  ReportSilence(group, 300, 300);
  const std::vector<failover_command> fences = Tick(state, group, 300);
  REQUIRE(fences.size() == 3);
  CHECK(fences[0].term == 2);
  RecordFence(state, group, fences[1], true, {1, 10}, At(310));
  CHECK(Tick(state, group, 700).empty());
  CHECK(state.phase == promotion_phase::kFencing);
  RecordFence(state, group, fences[2], true, {1, 12}, At(720));
  CHECK(Tick(state, group, 1019).empty());
  const std::vector<failover_command> promotions = Tick(state, group, 1020);
  REQUIRE(promotions.size() == 1);
  CHECK(promotions[0].kind == command_kind::kPromote);
  CHECK(promotions[0].instance == 2);
  CHECK(promotions[0].term == 2);
}

TEST_CASE("a rejected fence does not count towards the majority",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kRefused);
  ReportSilence(group, 300, 300);
  const std::vector<failover_command> fences = Tick(state, group, 300);
  RecordFence(state, group, fences[1], true, {1, 10}, At(310));
  RecordFence(state, group, fences[2], false, {1, 10}, At(311));
  CHECK(state.phase == promotion_phase::kFencing);
  Tick(state, group, 1101);
  CHECK(state.phase == promotion_phase::kWatching);
}

TEST_CASE("a promotion is abandoned when a higher term appears",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kRefused);
  ReportSilence(group, 300, 300);
  const std::vector<failover_command> fences = Tick(state, group, 300);
  RecordFence(state, group, fences[1], true, {1, 10}, At(310));
  RecordFence(state, group, fences[2], true, {1, 10}, At(311));
  RecordReport(group, 1, ReportAt(3, 10), At(400), At(401));
  CHECK(Tick(state, group, 700).empty());
  CHECK(state.phase == promotion_phase::kWatching);
}

TEST_CASE("a leaving primary is replaced by an instance that is not leaving",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  group.instances[0].leaving = true;
  const std::vector<failover_command> fences = Tick(state, group, 1);
  REQUIRE(fences.size() == 3);
  RecordFence(state, group, fences[0], true, {1, 12}, At(2));
  RecordFence(state, group, fences[1], true, {1, 10}, At(2));
  RecordFence(state, group, fences[2], true, {1, 11}, At(3));
  const std::vector<failover_command> promotions = Tick(state, group, 303);
  REQUIRE(promotions.size() == 1);
  CHECK(promotions[0].instance == 2);
}

TEST_CASE("no instance is promoted without a majority of fresh reports",
          "[promotion]") {
  group_state group = HealthyGroup(At(0));
  failover_state state;
  RecordFailure(group, 0, contact_result::kRefused);
  RecordFailure(group, 1, contact_result::kRefused);
  instance_report report = ReportAt(1, 10);
  report.primary_silence = std::chrono::seconds(60);
  RecordReport(group, 2, report, At(60'000), At(60'000));
  CHECK(Tick(state, group, 60'000).empty());
}

}  // namespace
}  // namespace sassafraswick
