#include "sassafraswick/routing/dispatch.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

const dispatch_settings kSettings;

dispatch_table TableWith(std::uint32_t idle, std::uint32_t budget) {
  dispatch_table table;
  table.connections.resize(3);
  for (connection_counts& counts : table.connections) {
    counts.idle = idle;
    counts.budget = budget;
  }
  return table;
}

request_entry Request(request_id id, access_kind access,
                      const std::string& organisation = "gallery") {
  request_entry request;
  request.id = id;
  request.organisation = organisation;
  request.access = access;
  request.arrived = At(0);
  request.deadline = At(1000);
  return request;
}

TEST_CASE("a write uses an idle connection to the primary with a lease",
          "[dispatch]") {
  const group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(1, 1);
  REQUIRE_FALSE(
      Enqueue(table, kSettings, Request(1, access_kind::kWrite), At(0)));
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(1));
  REQUIRE(plan.assignments.size() == 1);
  CHECK(plan.assignments[0].instance == 0);
  CHECK(table.connections[0].busy == 1);
  CHECK(table.waiting_count == 0);
}

TEST_CASE("statements of an urgent route overtake those that wait",
          "[dispatch]") {
  const group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(0, 2);
  for (request_id id = 1; id <= 6; ++id) {
    const std::string organisation = id % 2 == 0 ? "gallery" : "workshop";
    request_entry request = Request(id, access_kind::kWrite, organisation);
    request.priority = id > 4 ? 0 : 1;
    REQUIRE_FALSE(Enqueue(table, kSettings, request, At(0)));
  }
  CHECK(Dispatch(table, group, kSettings, At(1)).assignments.empty());
  table.connections[0].idle = 3;
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(2));
  REQUIRE(plan.assignments.size() == 3);
  CHECK(plan.assignments[0].request + plan.assignments[1].request == 5 + 6);
  CHECK(plan.assignments[2].request <= 2);
}

TEST_CASE("writes wait while there is no primary lease", "[dispatch]") {
  group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(1, 1);
  REQUIRE_FALSE(
      Enqueue(table, kSettings, Request(1, access_kind::kWrite), At(0)));
  CHECK(Dispatch(table, group, kSettings, At(400)).assignments.empty());
  group = HealthyGroup(At(500));
  CHECK(Dispatch(table, group, kSettings, At(501)).assignments.size() == 1);
}

TEST_CASE("a write that waits beyond its deadline is refused", "[dispatch]") {
  const group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(0, 0);
  REQUIRE_FALSE(
      Enqueue(table, kSettings, Request(1, access_kind::kWrite), At(0)));
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(1000));
  REQUIRE(plan.refusals.size() == 1);
  CHECK(plan.refusals[0].reason == refusal_reason::kNoInstance);
}

TEST_CASE("a read with a position uses a replica that has reached it",
          "[dispatch]") {
  group_state group = HealthyGroup(At(0), 10);
  RecordReport(group, 0, ReportAt(1, 12, instance_role::kPrimary), At(1),
               At(1));
  RecordReport(group, 2, ReportAt(1, 12), At(1), At(1));
  dispatch_table table = TableWith(1, 1);
  request_entry request = Request(1, access_kind::kRead);
  request.requirement.min_point = log_point{1, 12};
  REQUIRE_FALSE(Enqueue(table, kSettings, request, At(1)));
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(2));
  REQUIRE(plan.assignments.size() == 1);
  CHECK(plan.assignments[0].instance == 2);
}

TEST_CASE("a read that no replica can serve uses the primary", "[dispatch]") {
  const group_state group = HealthyGroup(At(0), 10);
  dispatch_table table = TableWith(1, 1);
  request_entry request = Request(1, access_kind::kRead);
  request.requirement.min_point = log_point{1, 11};
  REQUIRE_FALSE(Enqueue(table, kSettings, request, At(0)));
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(1));
  REQUIRE(plan.assignments.size() == 1);
  CHECK(plan.assignments[0].instance == 0);
}

TEST_CASE("a read of a discarded log position is refused", "[dispatch]") {
  group_state group = HealthyGroup(At(0), 10);
  instance_report promoted = ReportAt(2, 12, instance_role::kPrimary);
  promoted.history = {{1, 0}, {2, 10}};
  RecordReport(group, 1, promoted, At(1), At(1));
  dispatch_table table = TableWith(1, 1);
  request_entry request = Request(1, access_kind::kRead);
  request.requirement.min_point = log_point{1, 11};
  REQUIRE_FALSE(Enqueue(table, kSettings, request, At(1)));
  const dispatch_plan plan = Dispatch(table, group, kSettings, At(2));
  REQUIRE(plan.refusals.size() == 1);
  CHECK(plan.refusals[0].reason == refusal_reason::kHistoryLost);
}

TEST_CASE("organisations are served in turn whatever their queue lengths",
          "[dispatch]") {
  const group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(0, 1);
  request_id id = 1;
  for (int i = 0; i < 50; ++i) {
    REQUIRE_FALSE(Enqueue(table, kSettings,
                          Request(id++, access_kind::kWrite, "greedy"), At(0)));
  }
  const request_id modest = id;
  REQUIRE_FALSE(Enqueue(table, kSettings,
                        Request(modest, access_kind::kWrite, "modest"), At(0)));
  std::vector<request_id> served;
  for (int i = 0; i < 2; ++i) {
    table.connections[0].idle = 1;
    for (const assignment& each :
         Dispatch(table, group, kSettings, At(1)).assignments) {
      served.push_back(each.request);
    }
  }
  CHECK(std::find(served.begin(), served.end(), modest) != served.end());
}

TEST_CASE("a request is refused at once if the queue misses its deadline",
          "[dispatch]") {
  dispatch_table table = TableWith(1, 1);
  table.service_time = std::chrono::milliseconds(100);
  request_id id = 1;
  std::optional<refusal> refused;
  while (!refused.has_value() && id < 100) {
    refused =
        Enqueue(table, kSettings, Request(id++, access_kind::kWrite), At(0));
  }
  REQUIRE(refused.has_value());
  CHECK(refused->reason == refusal_reason::kOverloaded);
  CHECK(refused->retry_after > duration::zero());
  CHECK(table.waiting_count < 40);
}

TEST_CASE("connections are held for some time after a burst", "[dispatch]") {
  connection_counts counts;
  counts.busy = 3;
  CHECK(WantedConnections(counts, At(0)) == 3);
  counts.busy = 0;
  CHECK(WantedConnections(counts, At(2900)) == 3);
  CHECK(WantedConnections(counts, At(3001)) == 0);
  counts.unmet_demand = 1;
  CHECK(WantedConnections(counts, At(3002)) == 1);
}

TEST_CASE("connections are opened for unmet demand within the budget",
          "[dispatch]") {
  const group_state group = HealthyGroup(At(0));
  dispatch_table table = TableWith(0, 2);
  for (request_id id = 1; id <= 5; ++id) {
    REQUIRE_FALSE(
        Enqueue(table, kSettings, Request(id, access_kind::kWrite), At(0)));
  }
  CHECK(Dispatch(table, group, kSettings, At(1)).connects ==
        std::vector<instance_index>{0, 0});
  CHECK(Dispatch(table, group, kSettings, At(2)).connects.empty());
}

}  // namespace
}  // namespace sassafraswick
