#ifndef TEST_SASSAFRASWICK_FAILOVER_GROUP_BUILDER_H_
#define TEST_SASSAFRASWICK_FAILOVER_GROUP_BUILDER_H_

#include "sassafraswick/failover/group_state.h"

/// @file
/// Builders of group states for tests, in virtual time.

namespace sassafraswick {

/// Returns a point in virtual time.
inline time_point At(std::chrono::milliseconds since_start) {
  return time_point(std::chrono::hours(1)) + since_start;
}

inline time_point At(int milliseconds) {
  return At(std::chrono::milliseconds(milliseconds));
}

/// Returns a report of a term whose log ends at a position of that term.
inline instance_report ReportAt(term_number term, log_position position,
                                instance_role role = instance_role::kReplica) {
  instance_report report;
  report.term = term;
  report.role = role;
  report.log_end = {term, position};
  report.applied = position;
  report.history = {{1, 0}};
  return report;
}

/// Returns a group of three instances in term 1, the first one primary, whose
/// reports were all requested at the same time.
inline group_state HealthyGroup(time_point requested_at,
                                log_position position = 10) {
  group_state group;
  group.instances.resize(3);
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    group.instances[i].address.port = static_cast<std::uint16_t>(5000 + i);
    RecordReport(
        group, i,
        ReportAt(1, position,
                 i == 0 ? instance_role::kPrimary : instance_role::kReplica),
        requested_at, requested_at);
  }
  return group;
}

}  // namespace sassafraswick

#endif  // TEST_SASSAFRASWICK_FAILOVER_GROUP_BUILDER_H_
