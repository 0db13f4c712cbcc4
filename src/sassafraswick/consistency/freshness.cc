#include "sassafraswick/consistency/freshness.h"

#include <algorithm>

namespace sassafraswick {
namespace {

bool MeetsRequirement(const group_state& group, const instance_entry& instance,
                      const read_requirement& requirement,
                      duration primary_lease_duration, time_point now) {
  if (requirement.min_point.has_value() &&
      !HasApplied(instance, *requirement.min_point)) {
    return false;
  }
  if (!requirement.max_staleness.has_value()) {
    return requirement.min_point.has_value();
  }
  const std::optional<duration> age =
      StalenessBound(group, instance, primary_lease_duration, now);
  return age.has_value() && *age <= *requirement.max_staleness;
}

}  // namespace

bool HasApplied(const instance_entry& instance, log_point point) {
  return instance.report.has_value() &&
         instance.report->log_end.term >= point.term &&
         instance.report->applied >= point.position;
}

std::optional<duration> StalenessBound(const group_state& group,
                                       const instance_entry& instance,
                                       duration primary_lease_duration,
                                       time_point now) {
  const term_number term = CurrentTerm(group);
  if (!instance.report.has_value() || instance.report->term != term) {
    return std::nullopt;
  }
  const time_point lease_expiry =
      PrimaryLeaseExpiry(group, term, primary_lease_duration);
  if (lease_expiry == time_point::min()) {
    return std::nullopt;
  }
  const duration instance_age =
      instance.report->lag +
      std::chrono::duration_cast<duration>(now - instance.requested_at);
  const duration lease_age =
      std::chrono::duration_cast<duration>(now - lease_expiry);
  return std::max(instance_age, lease_age);
}

std::vector<instance_index> FreshReplicas(const group_state& group,
                                          const read_requirement& requirement,
                                          duration primary_lease_duration,
                                          time_point now) {
  std::vector<instance_index> fresh;
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    const instance_entry& instance = group.instances[i];
    const bool available = !instance.leaving &&
                           instance.last_contact == contact_result::kAnswered &&
                           instance.report.has_value() &&
                           instance.report->role == instance_role::kReplica;
    if (available && MeetsRequirement(group, instance, requirement,
                                      primary_lease_duration, now)) {
      fresh.push_back(i);
    }
  }
  return fresh;
}

std::optional<instance_index> PrimaryWithValidLease(
    const group_state& group, duration primary_lease_duration, time_point now) {
  const std::optional<instance_index> primary = FindPrimary(group);
  if (!primary.has_value() ||
      now >= PrimaryLeaseExpiry(group, CurrentTerm(group),
                                primary_lease_duration)) {
    return std::nullopt;
  }
  return primary;
}

}  // namespace sassafraswick
