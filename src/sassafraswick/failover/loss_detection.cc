#include "sassafraswick/failover/loss_detection.h"

#include <algorithm>

namespace sassafraswick {
namespace {

std::size_t CountOthersThatAnswer(const group_health& group,
                                  const std::string& primary) {
  return static_cast<std::size_t>(std::count_if(
      group.begin(), group.end(), [&primary](const instance_health& instance) {
        return instance.id != primary && Answers(instance);
      }));
}

bool AnyOtherStays(const group_health& group, const std::string& primary) {
  return std::any_of(
      group.begin(), group.end(), [&primary](const instance_health& instance) {
        return instance.id != primary && Answers(instance) && !instance.leaving;
      });
}

/// Tells whether every replica that answers lacked the awaited entry when it
/// was asked late enough. Older answers say nothing of it.
bool HasStalled(const replacement_state& state, const group_health& group,
                const std::string& primary, duration patience) {
  return std::all_of(
      group.begin(), group.end(), [&](const instance_health& instance) {
        return instance.id == primary || !Answers(instance) ||
               instance.asked_at - state.awaited_since >= patience;
      });
}

bool IsRefused(const instance_health& primary,
               const replacement_settings& settings) {
  return primary.refused_since.has_value() &&
         primary.refused_at - *primary.refused_since >= settings.refused_after;
}

bool IsSilent(const instance_health& primary,
              const replacement_settings& settings, time_point now) {
  return primary.silent_since.has_value() &&
         now - *primary.silent_since >= settings.silent_after;
}

}  // namespace

term_number HighestTerm(const group_health& group) {
  term_number highest = 0;
  for (const instance_health& instance : group) {
    if (instance.status.has_value()) {
      highest = std::max(highest, instance.status->term);
    }
  }
  return highest;
}

const instance_health* FindInstance(const group_health& group,
                                    const std::string& id) {
  const auto found = std::find_if(
      group.begin(), group.end(),
      [&id](const instance_health& instance) { return instance.id == id; });
  return found == group.end() ? nullptr : &*found;
}

bool Answers(const instance_health& instance) {
  return instance.status.has_value() && !instance.silent_since.has_value() &&
         !instance.refused_since.has_value();
}

const instance_health* FindLeader(const group_health& group) {
  const term_number highest = HighestTerm(group);
  for (const instance_health& instance : group) {
    if (instance.status.has_value() && instance.status->leads &&
        instance.status->term == highest) {
      return &instance;
    }
  }
  return nullptr;
}

void TrackReplicas(replacement_state& state, const group_health& group,
                   const std::string& primary, time_point now) {
  log_point furthest;
  for (const instance_health& instance : group) {
    if (instance.id != primary && instance.status.has_value() &&
        IsBehind(furthest, instance.status->received)) {
      furthest = instance.status->received;
    }
  }
  if (!IsBehind(furthest, state.awaited)) {
    const instance_health* const leader = FindInstance(group, primary);
    state.awaited = leader != nullptr && leader->status.has_value()
                        ? leader->status->received
                        : log_point();
    state.awaited_since = now;
  }
}

replacement_cause FindCause(const replacement_state& state,
                            const group_health& group,
                            const replacement_settings& settings,
                            time_point now) {
  const instance_health* const leader = FindLeader(group);
  if (leader == nullptr) {
    const bool known =
        std::any_of(group.begin(), group.end(),
                    [](const instance_health& each) { return Answers(each); });
    return known ? replacement_cause::kOrphaned : replacement_cause::kNone;
  }
  const std::size_t others = CountOthersThatAnswer(group, leader->id);
  if (others == 0) {
    return replacement_cause::kNone;
  }
  if (IsRefused(*leader, settings)) {
    return replacement_cause::kRefused;
  }
  if (IsSilent(*leader, settings, now)) {
    return replacement_cause::kSilent;
  }
  if (leader->leaving && AnyOtherStays(group, leader->id)) {
    return replacement_cause::kLeaving;
  }
  const duration patience =
      others > 1 ? settings.cut_off_after : settings.lone_cut_off_after;
  return HasStalled(state, group, leader->id, patience)
             ? replacement_cause::kCutOff
             : replacement_cause::kNone;
}

}  // namespace sassafraswick
