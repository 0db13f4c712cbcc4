#include "sassafraswick/failover/group_state.h"

#include <algorithm>
#include <functional>

namespace sassafraswick {
namespace {

/// Returns the highest value that a majority of the instances reaches or
/// exceeds, or `none` if fewer than a majority have a value.
template <typename Value>
Value MajorityValue(std::vector<Value> values, std::size_t instance_count,
                    Value none) {
  const std::size_t majority = MajoritySize(instance_count);
  if (values.size() < majority) {
    return none;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[majority - 1];
}

}  // namespace

void RecordReport(group_state& group, instance_index instance,
                  const instance_report& report, time_point requested_at,
                  time_point now) {
  instance_entry& entry = group.instances.at(instance);
  entry.last_contact = contact_result::kAnswered;
  const bool outdated =
      entry.report.has_value() &&
      (requested_at < entry.requested_at || report.term < entry.report->term);
  if (outdated) {
    return;
  }
  entry.report = report;
  entry.requested_at = requested_at;
  entry.answered_at = now;
}

void RecordFailure(group_state& group, instance_index instance,
                   contact_result outcome) {
  group.instances.at(instance).last_contact = outcome;
}

term_number CurrentTerm(const group_state& group) noexcept {
  term_number highest = 0;
  for (const instance_entry& entry : group.instances) {
    if (entry.report.has_value()) {
      highest = std::max(highest, entry.report->term);
    }
  }
  return highest;
}

std::optional<instance_index> FindPrimary(const group_state& group) noexcept {
  const term_number term = CurrentTerm(group);
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    const std::optional<instance_report>& report = group.instances[i].report;
    if (report.has_value() && report->role == instance_role::kPrimary &&
        report->term == term) {
      return i;
    }
  }
  return std::nullopt;
}

time_point PrimaryLeaseExpiry(const group_state& group, term_number term,
                              duration lease_duration) {
  std::vector<time_point> request_times;
  for (const instance_entry& entry : group.instances) {
    if (entry.report.has_value() && entry.report->term == term) {
      request_times.push_back(entry.requested_at);
    }
  }
  const time_point none = time_point::min();
  const time_point oldest =
      MajorityValue(std::move(request_times), group.instances.size(), none);
  return oldest == none ? none : oldest + lease_duration;
}

log_position DurablePosition(const group_state& group, term_number term) {
  std::vector<log_position> positions;
  for (const instance_entry& entry : group.instances) {
    if (entry.report.has_value() && entry.report->term == term &&
        entry.report->log_end.term == term) {
      positions.push_back(entry.report->log_end.position);
    }
  }
  return MajorityValue(std::move(positions), group.instances.size(),
                       log_position{0});
}

term_history KnownHistory(const group_state& group) {
  const instance_report* newest = nullptr;
  for (const instance_entry& entry : group.instances) {
    if (entry.report.has_value() &&
        (newest == nullptr ||
         IsBehind(newest->log_end, entry.report->log_end))) {
      newest = &*entry.report;
    }
  }
  return newest == nullptr ? term_history() : newest->history;
}

}  // namespace sassafraswick
