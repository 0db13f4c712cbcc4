#include "sassafraswick/failover/replacement.h"

#include <algorithm>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/fence.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/loss_detection.h"
#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/failover/step_down_relay.h"
#include "sassafraswick/failover/successor_choice.h"

namespace sassafraswick {
namespace {

using action_list = std::vector<replacement_action>;

void ResetToWatching(replacement_state& state, time_point now) {
  EnterPhase(state, replacement_phase::kWatching, now);
  state.cause = replacement_cause::kNone;
  state.stepped_down_position.reset();
  state.paused.clear();
  state.chosen.clear();
  state.proof = choice_proof::kNone;
  state.not_running.clear();
  state.unreplicated = log_point();
  state.unreplicated_since = now;
}

/// Returns whether a replica that resumes replication could confirm writes of a
/// replaced primary: the replica is in an older term than the current primary,
/// and a third instance may still be primary of that term; or a third may lead
/// a later term than the current primary's.
bool MayFollowOldPrimary(const group_health& group,
                         const instance_health& current_primary,
                         const instance_health& replica) {
  const bool may_be_replaced = std::any_of(
      group.begin(), group.end(), [&](const instance_health& other) {
        return other.id != current_primary.id && MayLead(other);
      });
  if (may_be_replaced || replica.status->term == current_primary.status->term) {
    return may_be_replaced;
  }
  return std::any_of(
      group.begin(), group.end(),
      [&current_primary, &replica](const instance_health& other) {
        const bool is_third = !other.replaced &&
                              other.id != current_primary.id &&
                              other.id != replica.id;
        return is_third &&
               (!other.status.has_value() || other.status->is_primary);
      });
}

/// Cleans up after an abandoned replacement: resumes replication on paused
/// replicas and makes primaries of old terms step down.
action_list CleanUpAbandoned(replacement_state& state,
                             const group_health& group,
                             const replacement_settings& settings,
                             time_point now) {
  action_list actions;
  const instance_health* const current_primary = FindCurrentPrimary(group);
  if (current_primary == nullptr || !IsResponsive(*current_primary) ||
      now - state.last_action_at < settings.retry_interval) {
    return actions;
  }
  for (const instance_health& instance : group) {
    if (!instance.status.has_value() || instance.replaced ||
        instance.id == current_primary->id) {
      continue;
    }
    if (instance.status->is_primary) {
      actions.push_back({replacement_action_kind::kStepDown, instance.id,
                         current_primary->status->term});
    } else if (instance.status->paused_term != 0 &&
               !MayFollowOldPrimary(group, *current_primary, instance)) {
      actions.push_back(
          {replacement_action_kind::kResumeReplication, instance.id, 0});
    }
  }
  if (!actions.empty()) {
    state.last_action_at = now;
  }
  return actions;
}

/// Returns whether the process that led last responds as a replica of its term.
/// It doesn't lead again without a promotion.
bool HasSteppedDown(const replacement_state& state, const group_health& group) {
  const instance_health* const primary = FindLastPrimary(state, group);
  if (primary == nullptr || !IsResponsive(*primary)) {
    return false;
  }
  const auto member = state.members.find(ProcessOf(*primary));
  return !primary->status->is_primary &&
         primary->status->term == state.members_term &&
         (member == state.members.end() ||
          !IsBehind(primary->status->received, member->second.received));
}

action_list Watch(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  const instance_health* const current_primary = FindCurrentPrimary(group);
  TrackReplication(
      state, group,
      current_primary == nullptr ? std::string() : current_primary->id, now);
  if (now - *state.observation_started_at < settings.observation_period) {
    return {};
  }
  replacement_cause cause = FindReplacementCause(state, group, settings, now);
  if (IsOrderUnsettled(state, group)) {
    cause = replacement_cause::kUnsettledOrder;
  } else if (state.order.has_value() && !IsPresumedLost(cause)) {
    // A request to promote the primary is still outstanding. Its effect after a
    // successor has led would discard what that one acknowledged.
    cause = replacement_cause::kNone;
  }
  if (cause != state.cause) {
    state.cause = cause;
    state.since = now;
  }
  const bool must_wait = cause == replacement_cause::kOrphaned &&
                         now - state.since < settings.orphaned_after &&
                         !HasSteppedDown(state, group);
  if (cause == replacement_cause::kNone || must_wait) {
    return CleanUpAbandoned(state, group, settings, now);
  }
  SetPrimary(state, current_primary != nullptr ? current_primary
                                               : FindLastPrimary(state, group));
  state.term = std::max(state.members_term, HighestTerm(group)) + 1;
  state.paused.clear();
  state.fence_requests.clear();
  state.step_down_responses.clear();
  state.first_fenced_at.reset();
  EnterPhase(state, replacement_phase::kFencing, now);
  return Fence(state, group, settings, now);
}

/// Returns whether a primary that was presumed lost responds again, also under
/// another identifier, so that the replacement can be abandoned. While a
/// promotion may take effect, what the primary acknowledged could be lost.
bool HasRecovered(const replacement_state& state, const group_health& group) {
  const instance_health* const primary = FindCurrentPrimary(group);
  return IsPresumedLost(state.cause) && !state.order.has_value() &&
         !state.stepped_down_position.has_value() && primary != nullptr &&
         IsResponsive(*primary) && primary->requested_at > state.since;
}

/// Returns whether a status shows that the replaced primary's process stepped
/// down. One behind what the primary is known to have had, or in an earlier
/// term, is of a process that runs under its identifier since.
bool IsStepDownOfPrimary(const replacement_state& state,
                         const group_health& group,
                         const replacement_action& action,
                         const instance_status& status) {
  const instance_health* const primary = FindInstance(group, state.primary);
  if (action.instance != state.primary || status.is_primary ||
      primary == nullptr || primary->seen_since != state.primary_seen_since) {
    return false;
  }
  const bool lost_term = WasTermPrimary(state, ProcessOf(*primary)) &&
                         status.term < state.members_term;
  const auto member = state.members.find(ProcessOf(*primary));
  return !lost_term && (member == state.members.end() ||
                        !IsBehind(status.received, member->second.received));
}

/// Returns whether the old primary responds and has not stepped down. An
/// instance that nobody has paused yet could confirm its writes.
bool MayStillLead(const replacement_state& state, const group_health& group) {
  const instance_health* const primary = FindInstance(group, state.primary);
  return !state.stepped_down_position.has_value() && primary != nullptr &&
         IsResponsive(*primary) && primary->status->is_primary;
}

/// Returns whether an instance that is to be ordered still runs the process
/// whose log is known. An old primary that is silent is ordered in any case, as
/// nobody else has what it had.
bool IsKnownToRun(const replacement_state& state, const group_health& group,
                  const std::string& id, const replacement_settings& settings,
                  time_point now) {
  const instance_health* const instance = FindInstance(group, id);
  const bool is_silent_primary =
      id == state.primary && instance != nullptr && !IsResponsive(*instance);
  return is_silent_primary ||
         (instance != nullptr && HasJustResponded(*instance, settings, now)) ||
         HasAnsweredStepDown(state, id, settings, now);
}

/// Asks an instance for a response that tells whether it runs, also through
/// other hosts if it is silent. A step-down has no effect on a replica, and
/// takes no slot of one that is busy.
action_list AskWhetherRunning(replacement_state& state,
                              const group_health& group, const std::string& id,
                              const replacement_settings& settings,
                              time_point now) {
  action_list actions = Fence(state, group, settings, now);
  fence_request& last = state.fence_requests[id];
  const bool is_due = last.kind != replacement_action_kind::kStepDown ||
                      now - last.sent_at >= settings.retry_interval;
  if (is_due) {
    last = {replacement_action_kind::kStepDown, now};
    actions.push_back({replacement_action_kind::kStepDown, id, state.term});
  }
  state.chosen.clear();
  return actions;
}

action_list Wait(replacement_state& state, const group_health& group,
                 const replacement_settings& settings, time_point now) {
  DropLapsedFences(state, group);
  if (!IsFenced(state, group)) {
    EnterPhase(state, replacement_phase::kFencing, now);
    return Fence(state, group, settings, now);
  }
  if (now - state.fenced_at < kPrimaryLeaseDuration) {
    return {};
  }
  const promotion_choice choice =
      MayStillLead(state, group) ? promotion_choice()
                                 : ChooseInstance(state, group, settings, now);
  if (choice.id.empty() || !MayOrder(state, choice.id, settings, now)) {
    state.chosen.clear();
    return Fence(state, group, settings, now);
  }
  if (!IsKnownToRun(state, group, choice.id, settings, now)) {
    return AskWhetherRunning(state, group, choice.id, settings, now);
  }
  state.chosen = choice.id;
  state.proof = choice.proof;
  AddOrder(state, choice.id, group, settings, now);
  EnterPhase(state, replacement_phase::kPromoting, now);
  state.last_action_at = now;
  return {{replacement_action_kind::kPromote, state.chosen, state.term}};
}

action_list AwaitPromotion(replacement_state& state, const group_health& group,
                           const replacement_settings& settings,
                           time_point now) {
  if (now - state.since >= settings.promotion_timeout) {
    EnterPhase(state, replacement_phase::kFencing, now);
  }
  DropLapsedFences(state, group);
  return Fence(state, group, settings, now);
}

}  // namespace

bool MayPromote(const replacement_state& state, const group_health& group) {
  return IsFenced(state, group) && !MayStillLead(state, group);
}

bool MayBeCutOff(const replacement_state& state,
                 const replacement_settings& settings, time_point now) {
  return state.phase == replacement_phase::kWatching &&
         now - state.unreplicated_since >= settings.cut_off_after;
}

bool AwaitsList(const replacement_state& state, time_point now) {
  return state.phase == replacement_phase::kWaiting &&
         now >= ListNeededAt(state) && !IsListComplete(state);
}

std::vector<replacement_action> AdvanceReplacement(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now) {
  if (!state.observation_started_at.has_value()) {
    state.observation_started_at = now;
    state.unreplicated_since = now;
  }
  TrackMembers(state, group, settings, now);
  DropEndedPrimary(state, group);
  const bool replaced = state.phase != replacement_phase::kWatching &&
                        state.members_term >= state.term;
  UpdateOrder(state, group, settings, now);
  if (!state.order.has_value() &&
      state.phase == replacement_phase::kPromoting) {
    EnterPhase(state, replacement_phase::kWaiting, now);
  }
  const bool fencing = state.phase == replacement_phase::kFencing ||
                       state.phase == replacement_phase::kWaiting;
  if (replaced || (fencing && HasRecovered(state, group))) {
    ResetToWatching(state, now);
  }
  // An instance that kept the fence from being complete may have left.
  CompleteFence(state, group, now);
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
  // Other hosts may reach an instance that this one does not.
  if (status.term > HighestTerm(group)) {
    state.heard_term = std::max(state.heard_term, status.term);
    state.heard_at = now;
  }
  if (state.phase == replacement_phase::kWatching ||
      action.term != state.term) {
    return;
  }
  if (action.kind == replacement_action_kind::kStepDown &&
      IsStepDownOfPrimary(state, group, action, status)) {
    if (!state.stepped_down_position.has_value()) {
      state.stepped_down_at = now;
    }
    state.stepped_down_position = status.received;
  }
  if (action.kind == replacement_action_kind::kStepDown && !status.is_primary) {
    state.step_down_responses[action.instance] = {status.received, now};
  }
  if (action.kind == replacement_action_kind::kPauseReplication &&
      status.paused_term >= state.term) {
    state.paused[action.instance] = {status.received, now};
  }
  CompleteFence(state, group, now);
}

void RecordPromoted(replacement_state& state, const replacement_action& action,
                    order_result outcome, time_point now) {
  if (state.phase != replacement_phase::kPromoting ||
      action.instance != state.chosen) {
    return;
  }
  switch (outcome) {
    case order_result::kAccepted:
    case order_result::kUnknown:
      return;
    case order_result::kNotRunning:
      state.not_running[action.instance] = now;
      CancelRequest(state);
      // The fence holds and its wait is over: another is chosen at once.
      EnterPhase(state, replacement_phase::kWaiting, now);
      return;
    case order_result::kNotRecorded:
      CancelRequest(state);
      EnterPhase(state, replacement_phase::kWaiting, now);
      return;
    case order_result::kNotExecuted:
      CancelRequest(state);
      EnterPhase(state, replacement_phase::kFencing, now);
      return;
  }
}

}  // namespace sassafraswick
