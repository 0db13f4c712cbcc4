#include "sassafraswick/failover/fence.h"

#include <algorithm>

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

/// Returns the request that fences an instance. A primary, even one of an old
/// term, cannot pause replication and must step down first.
replacement_action MakeFenceRequest(const replacement_state& state,
                                    const instance_health& instance) {
  const bool is_primary = instance.status.has_value()
                              ? instance.status->is_primary
                              : instance.claims_primary;
  const bool steps_down = instance.id == state.primary || is_primary;
  return {steps_down ? replacement_action_kind::kStepDown
                     : replacement_action_kind::kPauseReplication,
          instance.id, state.term};
}

/// Returns whether an instance may be the presumably lost primary, which is
/// back under another identifier and leads again. Its status tells.
bool MayBeReturnedPrimary(const replacement_state& state,
                          const group_health& group,
                          const instance_health& instance,
                          const replacement_settings& settings,
                          time_point now) {
  const instance_health* const primary = FindInstance(group, state.primary);
  const bool has_ended =
      primary == nullptr || primary->replaced || !primary->successor.empty();
  return has_ended && state.phase != replacement_phase::kPromoting &&
         IsPresumedLost(state.cause) && !state.order.has_value() &&
         !state.stepped_down_position.has_value() && instance.claims_primary &&
         !instance.status.has_value() && !instance.silent_since.has_value() &&
         !instance.refused_since.has_value() &&
         now - instance.seen_since < settings.claim_timeout;
}

/// Returns whether a fencing request has not been sent yet, or was sent
/// `retry_interval` ago.
bool IsRequestDue(const replacement_state& state,
                  const replacement_action& request,
                  const replacement_settings& settings, time_point now) {
  const auto last = state.fence_requests.find(request.instance);
  return last == state.fence_requests.end() ||
         last->second.kind != request.kind ||
         now - last->second.sent_at >= settings.retry_interval;
}

/// Returns whether every instance except the old primary paused replication.
bool AllOthersPaused(const replacement_state& state,
                     const group_health& group) {
  const bool has_others = std::any_of(
      group.begin(), group.end(), [&state](const instance_health& each) {
        return each.id != state.primary && !HasEnded(each);
      });
  return has_others && ListUnfenced(state, group).empty();
}

}  // namespace

std::vector<replacement_action> Fence(replacement_state& state,
                                      const group_health& group,
                                      const replacement_settings& settings,
                                      time_point now) {
  std::vector<replacement_action> actions;
  // Replicas of a leaving primary continue to replicate at first, so that one
  // of them receives all of its entries.
  const bool pause_others = state.cause != replacement_cause::kLeaving ||
                            state.phase == replacement_phase::kPromoting ||
                            now - state.since >= settings.retry_interval;
  for (const instance_health& instance : group) {
    if (HasEnded(instance) ||
        MayBeReturnedPrimary(state, group, instance, settings, now)) {
      continue;
    }
    const replacement_action request = MakeFenceRequest(state, instance);
    const bool pauses =
        request.kind == replacement_action_kind::kPauseReplication;
    const bool is_fenced =
        pauses && (!pause_others || state.paused.contains(instance.id));
    const bool is_promoted = state.phase == replacement_phase::kPromoting &&
                             instance.id == state.chosen;
    if (is_fenced || is_promoted ||
        !IsRequestDue(state, request, settings, now)) {
      continue;
    }
    state.fence_requests[instance.id] = {request.kind, now};
    actions.push_back(request);
  }
  return actions;
}

std::vector<std::string> ListUnfenced(const replacement_state& state,
                                      const group_health& group) {
  std::vector<std::string> unfenced;
  for (const instance_health& instance : group) {
    if (instance.id != state.primary && !HasEnded(instance) &&
        !state.paused.contains(instance.id)) {
      unfenced.push_back(instance.id);
    }
  }
  return unfenced;
}

void SetPrimary(replacement_state& state, const instance_health* primary) {
  state.primary = primary == nullptr ? std::string() : primary->id;
  state.primary_seen_since =
      primary == nullptr ? time_point() : primary->seen_since;
  state.stepped_down_position.reset();
}

void DropEndedPrimary(replacement_state& state, const group_health& group) {
  const instance_health* const instance = FindInstance(group, state.primary);
  if (instance == nullptr) {
    return;
  }
  if (instance->seen_since != state.primary_seen_since) {
    // The instance runs another process, which is one of the others.
    SetPrimary(state, nullptr);
    state.fence_requests.erase(instance->id);
  } else if (instance->replaced) {
    // Its next process must be fenced like any other.
    state.stepped_down_position.reset();
  }
}

void DropLapsedFences(replacement_state& state, const group_health& group) {
  for (const instance_health& instance : group) {
    const auto paused = state.paused.find(instance.id);
    if (paused == state.paused.end()) {
      continue;
    }
    const bool receives = IsResponsive(instance) &&
                          instance.requested_at > paused->second.since &&
                          std::max(instance.status->paused_term,
                                   instance.status->term) < state.term;
    if (receives || paused->second.since < instance.seen_since) {
      state.paused.erase(paused);
      state.fence_requests.erase(instance.id);
    }
  }
  DropEndedPrimary(state, group);
  const instance_health* const primary = FindCurrentPrimary(group);
  const bool leads = primary != nullptr && IsResponsive(*primary) &&
                     (primary->id != state.primary ||
                      (state.stepped_down_position.has_value() &&
                       primary->requested_at > state.stepped_down_at));
  if (leads) {
    SetPrimary(state, primary);
    state.fence_requests.erase(primary->id);
  }
}

bool IsFenced(const replacement_state& state, const group_health& group) {
  return state.stepped_down_position.has_value() ||
         AllOthersPaused(state, group);
}

void CompleteFence(replacement_state& state, const group_health& group,
                   time_point now) {
  if (state.phase == replacement_phase::kFencing && IsFenced(state, group)) {
    EnterPhase(state, replacement_phase::kWaiting, now);
    state.fenced_at = now;
    state.first_fenced_at = state.first_fenced_at.value_or(now);
  }
}

}  // namespace sassafraswick
