#include "sassafraswick/failover/replacement.h"

#include <algorithm>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

using action_list = std::vector<replacement_action>;

void Enter(replacement_state& state, replacement_phase phase, time_point now) {
  state.phase = phase;
  state.since = now;
  state.acted_at = time_point();
}

void Restart(replacement_state& state, time_point now) {
  Enter(state, replacement_phase::kWatching, now);
  state.cause = replacement_cause::kNone;
  state.stepped_down.reset();
  state.held.clear();
  state.chosen.clear();
  state.awaited = log_point();
  state.awaited_since = now;
}

/// Tells whether a replica that receives again could confirm writes of a
/// primary that was replaced: it follows an older term than the leader's, and
/// some instance may still lead that.
bool MayServeOldPrimary(const group_health& group,
                        const instance_health& leader,
                        const instance_health& replica) {
  if (replica.status->term == leader.status->term) {
    return false;
  }
  return std::any_of(
      group.begin(), group.end(),
      [&leader, &replica](const instance_health& other) {
        const bool is_third = other.id != leader.id && other.id != replica.id;
        return is_third && (!other.status.has_value() || other.status->leads);
      });
}

/// Orders for instances that an abandoned replacement left behind: replicas
/// that do not receive, and a primary of an old term.
action_list TidyUp(replacement_state& state, const group_health& group,
                   const replacement_settings& settings, time_point now) {
  action_list actions;
  const instance_health* const leader = FindLeader(group);
  if (leader == nullptr || !Answers(*leader) ||
      now - state.acted_at < settings.retry_after) {
    return actions;
  }
  for (const instance_health& instance : group) {
    if (!instance.status.has_value() || instance.id == leader->id) {
      continue;
    }
    if (instance.status->leads) {
      actions.push_back({replacement_action_kind::kStepDown, instance.id,
                         leader->status->term});
    } else if (instance.status->held_term != 0 &&
               !MayServeOldPrimary(group, *leader, instance)) {
      actions.push_back({replacement_action_kind::kRelease, instance.id, 0});
    }
  }
  if (!actions.empty()) {
    state.acted_at = now;
  }
  return actions;
}

action_list Fence(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  action_list actions;
  if (now - state.acted_at < settings.retry_after) {
    return actions;
  }
  // The followers of a primary that leaves go on receiving, so that one of
  // them gets all it has.
  const bool hold_others = state.cause != replacement_cause::kLeaving ||
                           now - state.since >= settings.retry_after;
  for (const instance_health& instance : group) {
    // An instance that leads, even an old term, cannot be held.
    const bool leads = instance.status.has_value() && instance.status->leads;
    if (instance.id == state.primary || leads) {
      actions.push_back(
          {replacement_action_kind::kStepDown, instance.id, state.term});
    } else if (hold_others && !state.held.contains(instance.id)) {
      actions.push_back(
          {replacement_action_kind::kHold, instance.id, state.term});
    }
  }
  state.acted_at = now;
  return actions;
}

action_list Watch(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  const instance_health* const leader = FindLeader(group);
  TrackReplicas(state, group, leader == nullptr ? std::string() : leader->id,
                now);
  if (now - *state.started_at < settings.observation) {
    return {};
  }
  const replacement_cause cause = FindCause(state, group, settings, now);
  if (cause != state.cause) {
    state.cause = cause;
    state.since = now;
  }
  const bool patient = cause == replacement_cause::kOrphaned &&
                       now - state.since < settings.orphaned_after;
  if (cause == replacement_cause::kNone || patient) {
    return TidyUp(state, group, settings, now);
  }
  state.primary = leader == nullptr ? std::string() : leader->id;
  state.term = HighestTerm(group) + 1;
  state.stepped_down.reset();
  state.held.clear();
  Enter(state, replacement_phase::kFencing, now);
  return Fence(state, group, settings, now);
}

/// Tells whether every instance but the old primary stopped receiving.
bool AllOthersHeld(const replacement_state& state, const group_health& group) {
  std::size_t others = 0;
  for (const instance_health& instance : group) {
    if (instance.id == state.primary) {
      continue;
    }
    ++others;
    if (!state.held.contains(instance.id)) {
      return false;
    }
  }
  return others > 0;
}

/// Drops holds that did not last: the instance was started again or released.
void DropLostHolds(replacement_state& state, const group_health& group) {
  for (const instance_health& instance : group) {
    const auto held = state.held.find(instance.id);
    const bool receives = held != state.held.end() && Answers(instance) &&
                          instance.asked_at > held->second.since &&
                          std::max(instance.status->held_term,
                                   instance.status->term) < state.term;
    if (receives) {
      state.held.erase(held);
    }
  }
}

bool IsFenced(const replacement_state& state, const group_health& group) {
  return state.stepped_down.has_value() || AllOthersHeld(state, group);
}

/// Tells whether the primary turned out to be alive, so that it may go on. A
/// host that knew of none finds one that answers.
bool HasRecovered(const replacement_state& state, const group_health& group) {
  const bool was_gone = state.cause == replacement_cause::kSilent ||
                        state.cause == replacement_cause::kRefused ||
                        state.cause == replacement_cause::kOrphaned;
  const instance_health* const primary =
      state.primary.empty() ? FindLeader(group)
                            : FindInstance(group, state.primary);
  return was_gone && !state.stepped_down.has_value() && primary != nullptr &&
         Answers(*primary) && primary->status->leads &&
         primary->asked_at > state.since;
}

struct candidate {
  std::string id;
  log_point end;
  bool leaving = false;
};

bool IsBetter(const candidate& left, const candidate& right) {
  if (left.end != right.end) {
    return IsBehind(right.end, left.end);
  }
  return !left.leaving && right.leaving;
}

/// Lists the instances but the old primary with ends of their logs that were
/// seen after the fence, best first.
std::vector<candidate> Candidates(const replacement_state& state,
                                  const group_health& group) {
  std::vector<candidate> found;
  for (const instance_health& instance : group) {
    if (instance.id == state.primary) {
      continue;
    }
    const auto held = state.held.find(instance.id);
    const bool current =
        Answers(instance) && instance.asked_at >= state.fenced_at;
    if (current) {
      found.push_back(
          {instance.id, instance.status->received, instance.leaving});
    } else if (held != state.held.end()) {
      found.push_back({instance.id, held->second.received, instance.leaving});
    }
  }
  std::sort(found.begin(), found.end(), IsBetter);
  return found;
}

/// Chooses the instance to promote.
/// @return Empty if none is proved to hold every acknowledged write yet.
std::string Choose(const replacement_state& state, const group_health& group,
                   const replacement_settings& settings, time_point now) {
  const std::vector<candidate> candidates = Candidates(state, group);
  const std::size_t others =
      group.size() - (FindInstance(group, state.primary) == nullptr ? 0 : 1);
  const bool heard_all = !candidates.empty() && candidates.size() >= others;
  for (const candidate& each : candidates) {
    const bool holds_all =
        (state.stepped_down.has_value() &&
         !IsBehind(each.end, *state.stepped_down)) ||
        (heard_all && !IsBehind(each.end, candidates.front().end));
    if (holds_all && !each.leaving) {
      return each.id;
    }
  }
  const bool waited = now - state.fenced_at >= settings.catch_up;
  return heard_all && waited ? candidates.front().id : std::string();
}

action_list Wait(replacement_state& state, const group_health& group,
                 const replacement_settings& settings, time_point now) {
  DropLostHolds(state, group);
  if (!IsFenced(state, group)) {
    Enter(state, replacement_phase::kFencing, now);
    return Fence(state, group, settings, now);
  }
  if (now - state.fenced_at < kPermitWindow) {
    return {};
  }
  state.chosen = Choose(state, group, settings, now);
  if (state.chosen.empty()) {
    return Fence(state, group, settings, now);
  }
  Enter(state, replacement_phase::kPromoting, now);
  state.acted_at = now;
  return {{replacement_action_kind::kPromote, state.chosen, state.term}};
}

action_list AwaitPromotion(replacement_state& state, const group_health& group,
                           const replacement_settings& settings,
                           time_point now) {
  if (now - state.since >= settings.promotion_limit) {
    Enter(state, replacement_phase::kFencing, now);
    return Fence(state, group, settings, now);
  }
  return {};
}

}  // namespace

std::string_view CauseName(replacement_cause cause) noexcept {
  switch (cause) {
    case replacement_cause::kNone:
      return "none";
    case replacement_cause::kRefused:
      return "refused";
    case replacement_cause::kSilent:
      return "silent";
    case replacement_cause::kCutOff:
      return "cut_off";
    case replacement_cause::kLeaving:
      return "leaving";
    case replacement_cause::kOrphaned:
      return "orphaned";
  }
  return "unknown";
}

std::string_view PhaseName(replacement_phase phase) noexcept {
  switch (phase) {
    case replacement_phase::kWatching:
      return "watching";
    case replacement_phase::kFencing:
      return "fencing";
    case replacement_phase::kWaiting:
      return "waiting";
    case replacement_phase::kPromoting:
      return "promoting";
  }
  return "unknown";
}

bool MayBeCutOff(const replacement_state& state,
                 const replacement_settings& settings, time_point now) {
  return state.phase == replacement_phase::kWatching &&
         now - state.awaited_since >= settings.cut_off_after;
}

std::vector<replacement_action> TickReplacement(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now) {
  if (!state.started_at.has_value()) {
    state.started_at = now;
    state.awaited_since = now;
  }
  const bool fencing = state.phase == replacement_phase::kFencing ||
                       state.phase == replacement_phase::kWaiting;
  const bool replaced = state.phase != replacement_phase::kWatching &&
                        HighestTerm(group) >= state.term;
  if (replaced || (fencing && HasRecovered(state, group))) {
    Restart(state, now);
  }
  switch (state.phase) {
    case replacement_phase::kWatching:
      return Watch(state, group, settings, now);
    case replacement_phase::kFencing:
      return Fence(state, group, settings, now);
    case replacement_phase::kWaiting:
      return Wait(state, group, settings, now);
    case replacement_phase::kPromoting:
      return AwaitPromotion(state, group, settings, now);
  }
  return {};
}

void RecordFenced(replacement_state& state, const group_health& group,
                  const replacement_action& action,
                  const instance_status& status, time_point now) {
  const bool fencing = state.phase == replacement_phase::kFencing ||
                       state.phase == replacement_phase::kWaiting;
  if (!fencing || action.term != state.term) {
    return;
  }
  if (action.kind == replacement_action_kind::kStepDown &&
      action.instance == state.primary && !status.leads) {
    state.stepped_down = status.received;
  }
  if (action.kind == replacement_action_kind::kHold &&
      status.held_term >= state.term) {
    state.held[action.instance] = {status.received, now};
  }
  if (state.phase == replacement_phase::kFencing && IsFenced(state, group)) {
    Enter(state, replacement_phase::kWaiting, now);
    state.fenced_at = now;
  }
}

void RecordPromoted(replacement_state& state, const replacement_action& action,
                    bool accepted, time_point now) {
  if (state.phase != replacement_phase::kPromoting ||
      action.instance != state.chosen || accepted) {
    return;
  }
  Enter(state, replacement_phase::kFencing, now);
}

}  // namespace sassafraswick
