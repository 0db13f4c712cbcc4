#include "sassafraswick/consistency/freshness.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

constexpr duration kPrimaryLease = std::chrono::milliseconds(300);

std::vector<instance_index> Fresh(const group_state& group,
                                  const read_requirement& requirement,
                                  int now) {
  return FreshReplicas(group, requirement, kPrimaryLease, At(now));
}

TEST_CASE("a replica serves a read with a token once it has applied the point",
          "[freshness]") {
  group_state group = HealthyGroup(At(0), 10);
  read_requirement requirement;
  requirement.min_point = log_point{1, 11};
  CHECK(Fresh(group, requirement, 1).empty());
  RecordReport(group, 2, ReportAt(1, 11), At(2), At(3));
  CHECK(Fresh(group, requirement, 3) == std::vector<instance_index>{2});
  group.instances[2].leaving = true;
  CHECK(Fresh(group, requirement, 3).empty());
}

TEST_CASE(
    "a replica whose log ends before the token's term does not serve the read",
    "[freshness]") {
  group_state group = HealthyGroup(At(0), 50);
  read_requirement requirement;
  requirement.min_point = log_point{2, 20};
  CHECK(Fresh(group, requirement, 1).empty());
}

TEST_CASE("staleness includes the replica's lag and the age of its report",
          "[freshness]") {
  group_state group = HealthyGroup(At(0));
  instance_report lagging = ReportAt(1, 10);
  lagging.lag = std::chrono::milliseconds(100);
  RecordReport(group, 1, lagging, At(0), At(5));
  read_requirement requirement;
  requirement.max_staleness = std::chrono::milliseconds(150);
  CHECK(Fresh(group, requirement, 50) == std::vector<instance_index>{1, 2});
  CHECK(Fresh(group, requirement, 51) == std::vector<instance_index>{2});
  CHECK(Fresh(group, requirement, 151).empty());
}

TEST_CASE("staleness is at least the time since the primary lease expired",
          "[freshness]") {
  group_state group = HealthyGroup(At(0));
  for (int now = 0; now <= 1000; now += 100) {
    RecordReport(group, 1, ReportAt(1, 10), At(now), At(now));
  }
  read_requirement requirement;
  requirement.max_staleness = std::chrono::milliseconds(600);
  CHECK(Fresh(group, requirement, 900) == std::vector<instance_index>{1});
  CHECK(Fresh(group, requirement, 1000).empty());
}

TEST_CASE(
    "without a freshness requirement only a primary with a valid lease serves",
    "[freshness]") {
  const group_state group = HealthyGroup(At(0));
  CHECK(Fresh(group, {}, 1).empty());
  CHECK(PrimaryWithValidLease(group, kPrimaryLease, At(299)) ==
        instance_index{0});
  CHECK_FALSE(PrimaryWithValidLease(group, kPrimaryLease, At(300)).has_value());
}

}  // namespace
}  // namespace sassafraswick
