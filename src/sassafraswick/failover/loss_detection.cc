#include "sassafraswick/failover/loss_detection.h"

#include <algorithm>

#include "sassafraswick/failover/group_members.h"

namespace sassafraswick {
namespace {

std::size_t CountResponsiveOthers(const group_health& group,
                                  const std::string& primary) {
  return static_cast<std::size_t>(std::count_if(
      group.begin(), group.end(), [&primary](const instance_health& instance) {
        return instance.id != primary && IsResponsive(instance);
      }));
}

bool HasRemainingInstance(const group_health& group,
                          const std::string& primary) {
  return std::any_of(group.begin(), group.end(),
                     [&primary](const instance_health& instance) {
                       return instance.id != primary &&
                              IsResponsive(instance) && !instance.leaving;
                     });
}

/// Returns whether every responsive replica still lacks `state.unreplicated` in
/// a status that was requested at least `stalled_after` after that entry was
/// first seen. Responses to earlier requests are no evidence of a stall.
bool IsReplicationStalled(const replacement_state& state,
                          const group_health& group, const std::string& primary,
                          duration stalled_after) {
  return std::all_of(
      group.begin(), group.end(), [&](const instance_health& instance) {
        return instance.id == primary || !IsResponsive(instance) ||
               instance.requested_at - state.unreplicated_since >=
                   stalled_after;
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
    highest = std::max(highest, instance.highest_term);
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

bool IsResponsive(const instance_health& instance) {
  return instance.status.has_value() && !instance.replaced &&
         !instance.silent_since.has_value() &&
         !instance.refused_since.has_value();
}

bool MayLead(const instance_health& instance) {
  const bool denies = IsResponsive(instance) && !instance.status->is_primary;
  return instance.listed && instance.claims_primary && !denies;
}

bool HasEnded(const instance_health& instance) {
  return instance.replaced ||
         (instance.has_announced_stop && !instance.listed &&
          instance.refused_since.has_value());
}

bool HasJustResponded(const instance_health& instance,
                      const replacement_settings& settings, time_point now) {
  return IsResponsive(instance) &&
         now - instance.requested_at <= settings.heard_within;
}

const instance_health* FindCurrentPrimary(const group_health& group) {
  const term_number highest = HighestTerm(group);
  const instance_health* newest = nullptr;
  for (const instance_health& instance : group) {
    const bool is_primary = instance.status.has_value() && !instance.replaced &&
                            instance.status->is_primary &&
                            instance.status->term == highest;
    if (is_primary &&
        (newest == nullptr || newest->requested_at < instance.requested_at)) {
      newest = &instance;
    }
  }
  return newest;
}

void TrackReplication(replacement_state& state, const group_health& group,
                      const std::string& primary, time_point now) {
  log_point most_advanced;
  for (const instance_health& instance : group) {
    if (instance.id != primary && instance.status.has_value() &&
        IsBehind(most_advanced, instance.status->received)) {
      most_advanced = instance.status->received;
    }
  }
  if (!IsBehind(most_advanced, state.unreplicated)) {
    const instance_health* const current_primary = FindInstance(group, primary);
    state.unreplicated =
        current_primary != nullptr && current_primary->status.has_value()
            ? current_primary->status->received
            : log_point();
    state.unreplicated_since = now;
  }
}

bool IsPresumedLost(replacement_cause cause) noexcept {
  return cause == replacement_cause::kSilent ||
         cause == replacement_cause::kRefused ||
         cause == replacement_cause::kOrphaned;
}

replacement_cause FindReplacementCause(const replacement_state& state,
                                       const group_health& group,
                                       const replacement_settings& settings,
                                       time_point now) {
  const instance_health* const current_primary = FindCurrentPrimary(group);
  if (current_primary == nullptr) {
    const bool any_responsive = std::any_of(
        group.begin(), group.end(),
        [](const instance_health& each) { return IsResponsive(each); });
    return any_responsive ? replacement_cause::kOrphaned
                          : replacement_cause::kNone;
  }
  const std::size_t others = CountResponsiveOthers(group, current_primary->id);
  if (others == 0) {
    return replacement_cause::kNone;
  }
  if (IsRefused(*current_primary, settings)) {
    return replacement_cause::kRefused;
  }
  if (IsSilent(*current_primary, settings, now)) {
    return replacement_cause::kSilent;
  }
  // The primary may have the only copy of what an instance that has left
  // confirmed, or of all that earlier terms left. Its replicas can receive it
  // only while it leads.
  if (LastMemberLeftAt(state, current_primary->id).has_value() ||
      IsPrimaryAlone(state)) {
    return replacement_cause::kNone;
  }
  if (current_primary->leaving &&
      HasRemainingInstance(group, current_primary->id)) {
    return replacement_cause::kLeaving;
  }
  const duration stalled_after = others > 1
                                     ? settings.cut_off_after
                                     : settings.single_replica_cut_off_after;
  return IsReplicationStalled(state, group, current_primary->id, stalled_after)
             ? replacement_cause::kCutOff
             : replacement_cause::kNone;
}

}  // namespace sassafraswick
