#include "sassafraswick/consistency/freshness.h"

#include <algorithm>

namespace sassafraswick {
namespace {

bool Serves(const group_state& group, const instance_entry& instance,
            const read_requirement& requirement, duration permit_window,
            time_point now) {
  if (requirement.at_least.has_value() &&
      !ShowsPoint(instance, *requirement.at_least)) {
    return false;
  }
  if (!requirement.max_staleness.has_value()) {
    return requirement.at_least.has_value();
  }
  const std::optional<duration> age =
      AgeBound(group, instance, permit_window, now);
  return age.has_value() && *age <= *requirement.max_staleness;
}

}  // namespace

bool ShowsPoint(const instance_entry& instance, log_point point) {
  return instance.report.has_value() &&
         instance.report->log_end.term >= point.term &&
         instance.report->applied >= point.position;
}

std::optional<duration> AgeBound(const group_state& group,
                                 const instance_entry& instance,
                                 duration permit_window, time_point now) {
  const term_number term = CurrentTerm(group);
  if (!instance.report.has_value() || instance.report->term != term) {
    return std::nullopt;
  }
  const time_point current_until = PermitExpiry(group, term, permit_window);
  if (current_until == time_point::min()) {
    return std::nullopt;
  }
  const duration own_age =
      instance.report->lag +
      std::chrono::duration_cast<duration>(now - instance.asked_at);
  const duration group_age =
      std::chrono::duration_cast<duration>(now - current_until);
  return std::max(own_age, group_age);
}

std::vector<instance_index> FreshReplicas(const group_state& group,
                                          const read_requirement& requirement,
                                          duration permit_window,
                                          time_point now) {
  std::vector<instance_index> fresh;
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    const instance_entry& instance = group.instances[i];
    const bool available = !instance.leaving &&
                           instance.last_contact == contact::kAnswered &&
                           instance.report.has_value() &&
                           instance.report->role == instance_role::kReplica;
    if (available && Serves(group, instance, requirement, permit_window, now)) {
      fresh.push_back(i);
    }
  }
  return fresh;
}

std::optional<instance_index> PermittedPrimary(const group_state& group,
                                               duration permit_window,
                                               time_point now) {
  const std::optional<instance_index> primary = FindPrimary(group);
  if (!primary.has_value() ||
      now >= PermitExpiry(group, CurrentTerm(group), permit_window)) {
    return std::nullopt;
  }
  return primary;
}

}  // namespace sassafraswick
