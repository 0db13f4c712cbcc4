#include "sassafraswick/failover/group_state.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

constexpr duration kPrimaryLease = std::chrono::milliseconds(300);

TEST_CASE(
    "a primary lease is counted from a majority's requests, not its responses",
    "[permit]") {
  group_state group = HealthyGroup(At(0));
  CHECK(PrimaryLeaseExpiry(group, 1, kPrimaryLease) == At(300));
  RecordReport(group, 1, ReportAt(1, 10), At(100), At(250));
  CHECK(PrimaryLeaseExpiry(group, 1, kPrimaryLease) == At(300));
  RecordReport(group, 2, ReportAt(1, 10), At(150), At(160));
  CHECK(PrimaryLeaseExpiry(group, 1, kPrimaryLease) == At(400));
}

TEST_CASE("fencing a majority ends the primary lease of the old term",
          "[permit]") {
  group_state group = HealthyGroup(At(0));
  RecordReport(group, 1, ReportAt(2, 10), At(10), At(11));
  RecordReport(group, 2, ReportAt(2, 10), At(10), At(11));
  CHECK(PrimaryLeaseExpiry(group, 1, kPrimaryLease) == time_point::min());
  CHECK(CurrentTerm(group) == 2);
  CHECK_FALSE(FindPrimary(group).has_value());
}

TEST_CASE("late or reordered responses never replace a newer report",
          "[group]") {
  group_state group = HealthyGroup(At(100), 10);
  RecordReport(group, 1, ReportAt(1, 5), At(50), At(200));
  CHECK(group.instances[1].report->applied == 10);
  RecordReport(group, 1, ReportAt(2, 10), At(300), At(301));
  RecordReport(group, 1, ReportAt(1, 20), At(310), At(311));
  CHECK(group.instances[1].report->term == 2);
}

TEST_CASE("a position is durable once a majority has it in the current term",
          "[group]") {
  group_state group = HealthyGroup(At(0), 10);
  RecordReport(group, 0, ReportAt(1, 15, instance_role::kPrimary), At(1),
               At(2));
  CHECK(DurablePosition(group, 1) == 10);
  RecordReport(group, 2, ReportAt(1, 13), At(1), At(2));
  CHECK(DurablePosition(group, 1) == 13);
  instance_report old_entries = ReportAt(2, 13);
  old_entries.log_end.term = 1;
  RecordReport(group, 1, old_entries, At(3), At(4));
  RecordReport(group, 2, old_entries, At(3), At(4));
  CHECK(DurablePosition(group, 2) == 0);
}

}  // namespace
}  // namespace sassafraswick
