#include "sassafraswick/failover/replacement.h"

#include <algorithm>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

using action_list = std::vector<replacement_action>;

/// Time from an instance's start within which the store lists it.
constexpr duration kEntryDelay = std::chrono::milliseconds(200);

void EnterPhase(replacement_state& state, replacement_phase phase,
                time_point now) {
  state.phase = phase;
  state.since = now;
  state.last_action_at = time_point();
}

void ResetToWatching(replacement_state& state, time_point now) {
  EnterPhase(state, replacement_phase::kWatching, now);
  state.cause = replacement_cause::kNone;
  state.stepped_down_position.reset();
  state.paused.clear();
  state.chosen.clear();
  state.proof = choice_proof::kNone;
  state.unreplicated = log_point();
  state.unreplicated_since = now;
}

/// Returns whether a replica that resumes replication could confirm writes of a
/// replaced primary: the replica is in an older term than the current primary,
/// and a third instance may still be primary of that term.
bool MayFollowOldPrimary(const group_health& group,
                         const instance_health& current_primary,
                         const instance_health& replica) {
  if (replica.status->term == current_primary.status->term) {
    return false;
  }
  return std::any_of(
      group.begin(), group.end(),
      [&current_primary, &replica](const instance_health& other) {
        const bool is_third =
            other.id != current_primary.id && other.id != replica.id;
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
    if (!instance.status.has_value() || instance.id == current_primary->id) {
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

/// Fences every instance that is not fenced yet, also those that appeared after
/// the fence was complete: until the promotion takes effect, an old primary
/// that returns and a new replica could acknowledge writes.
action_list Fence(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  action_list actions;
  // Replicas of a leaving primary continue to replicate at first, so that one
  // of them receives all of its entries.
  const bool pause_others = state.cause != replacement_cause::kLeaving ||
                            state.phase == replacement_phase::kPromoting ||
                            now - state.since >= settings.retry_interval;
  for (const instance_health& instance : group) {
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

action_list Watch(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  const instance_health* const current_primary = FindCurrentPrimary(group);
  TrackReplication(
      state, group,
      current_primary == nullptr ? std::string() : current_primary->id, now);
  if (now - *state.observation_started_at < settings.observation_period) {
    return {};
  }
  const replacement_cause cause =
      FindReplacementCause(state, group, settings, now);
  if (cause != state.cause) {
    state.cause = cause;
    state.since = now;
  }
  const bool must_wait = cause == replacement_cause::kOrphaned &&
                         now - state.since < settings.orphaned_after;
  if (cause == replacement_cause::kNone || must_wait) {
    return CleanUpAbandoned(state, group, settings, now);
  }
  state.primary =
      current_primary == nullptr ? std::string() : current_primary->id;
  state.term = HighestTerm(group) + 1;
  state.stepped_down_position.reset();
  state.paused.clear();
  state.fence_requests.clear();
  EnterPhase(state, replacement_phase::kFencing, now);
  return Fence(state, group, settings, now);
}

/// Returns whether every instance except the old primary paused replication.
bool AllOthersPaused(const replacement_state& state,
                     const group_health& group) {
  const bool has_others = std::any_of(group.begin(), group.end(),
                                      [&state](const instance_health& each) {
                                        return each.id != state.primary;
                                      });
  return has_others && ListUnfenced(state, group).empty();
}

/// Removes instances that replicate again because they were restarted or told
/// to resume.
void DropResumedReplicas(replacement_state& state, const group_health& group) {
  for (const instance_health& instance : group) {
    const auto paused = state.paused.find(instance.id);
    const bool receives = paused != state.paused.end() &&
                          IsResponsive(instance) &&
                          instance.requested_at > paused->second.since &&
                          std::max(instance.status->paused_term,
                                   instance.status->term) < state.term;
    if (receives) {
      state.paused.erase(paused);
      state.fence_requests.erase(instance.id);
    }
  }
}

bool IsFenced(const replacement_state& state, const group_health& group) {
  return state.stepped_down_position.has_value() ||
         AllOthersPaused(state, group);
}

/// Enters the next phase once the fence is complete.
void CompleteFence(replacement_state& state, const group_health& group,
                   time_point now) {
  if (state.phase == replacement_phase::kFencing && IsFenced(state, group)) {
    EnterPhase(state, replacement_phase::kWaiting, now);
    state.fenced_at = now;
  }
}

/// Returns whether a primary that was presumed lost responds again, so that the
/// replacement can be abandoned. If no primary was known, any instance that
/// responds as primary counts.
bool HasRecovered(const replacement_state& state, const group_health& group) {
  const bool presumed_lost = state.cause == replacement_cause::kSilent ||
                             state.cause == replacement_cause::kRefused ||
                             state.cause == replacement_cause::kOrphaned;
  const instance_health* const primary =
      state.primary.empty() ? FindCurrentPrimary(group)
                            : FindInstance(group, state.primary);
  return presumed_lost && !state.stepped_down_position.has_value() &&
         primary != nullptr && IsResponsive(*primary) &&
         primary->status->is_primary && primary->requested_at > state.since;
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

/// Returns the instances, except the old primary, that reported their last log
/// entry after the fence or when they paused replication. The best candidate
/// comes first.
std::vector<candidate> CollectCandidates(const replacement_state& state,
                                         const group_health& group) {
  std::vector<candidate> found;
  for (const instance_health& instance : group) {
    if (instance.id == state.primary) {
      continue;
    }
    const auto paused = state.paused.find(instance.id);
    const bool current =
        IsResponsive(instance) && instance.requested_at >= state.fenced_at;
    if (current) {
      found.push_back(
          {instance.id, instance.status->received, instance.leaving});
    } else if (paused != state.paused.end()) {
      found.push_back({instance.id, paused->second.received, instance.leaving});
    }
  }
  std::sort(found.begin(), found.end(), IsBetter);
  return found;
}

/// Returns whether every instance that confirmed a write before the primary
/// stepped down is known: the list of instances was read after it had.
bool IsListComplete(const replacement_state& state) {
  return state.list_read_at >= state.stepped_down_at + kEntryDelay;
}

/// An instance to promote, and why it was chosen.
struct promotion_choice {
  /// Empty if no instance is to be promoted yet.
  std::string id;
  choice_proof proof = choice_proof::kNone;
};

/// Chooses among instances that provably have every acknowledged write. Leaving
/// instances are chosen only after `catch_up_timeout`.
promotion_choice ChooseProved(const replacement_state& state,
                              const group_health& group,
                              const std::vector<candidate>& candidates,
                              bool timed_out) {
  const std::size_t others =
      group.size() - (FindInstance(group, state.primary) == nullptr ? 0 : 1);
  // An instance that is not listed yet may have confirmed what only the primary
  // has besides.
  const bool list_suffices =
      !state.stepped_down_position.has_value() || IsListComplete(state);
  const bool all_known = list_suffices && !candidates.empty() &&
                         candidates.size() >= others &&
                         !LastMemberLeftAt(state, state.primary).has_value();
  for (const candidate& each : candidates) {
    if (each.leaving) {
      continue;
    }
    if (state.stepped_down_position.has_value() &&
        !IsBehind(each.end, *state.stepped_down_position)) {
      return {each.id, choice_proof::kHasPrimaryLog};
    }
    if (all_known && !IsBehind(each.end, candidates.front().end)) {
      return {each.id, choice_proof::kMostAdvanced};
    }
  }
  if (all_known && timed_out) {
    return {candidates.front().id, choice_proof::kMostAdvanced};
  }
  return {};
}

/// Returns whether the old primary stepped down and still responds. It has
/// every acknowledged write.
bool CanPromoteOldPrimary(const replacement_state& state,
                          const group_health& group) {
  const instance_health* const primary = FindInstance(group, state.primary);
  return state.stepped_down_position.has_value() && primary != nullptr &&
         primary->listed && IsResponsive(*primary);
}

promotion_choice ChooseInstance(const replacement_state& state,
                                const group_health& group,
                                const replacement_settings& settings,
                                time_point now) {
  const std::vector<candidate> candidates = CollectCandidates(state, group);
  const duration waited =
      std::chrono::duration_cast<duration>(now - state.fenced_at);
  const bool timed_out = waited >= settings.catch_up_timeout;
  promotion_choice chosen = ChooseProved(state, group, candidates, timed_out);
  if (!chosen.id.empty()) {
    return chosen;
  }
  const bool list_timed_out =
      !IsListComplete(state) && waited >= settings.list_timeout;
  if ((timed_out || list_timed_out) && CanPromoteOldPrimary(state, group)) {
    return {state.primary, choice_proof::kOldPrimary};
  }
  if (!timed_out) {
    return chosen;
  }
  const std::optional<time_point> last_left_at =
      LastMemberLeftAt(state, state.primary);
  const bool gives_up = last_left_at.has_value() &&
                        now - *last_left_at >= settings.member_return_timeout;
  if (gives_up && !candidates.empty()) {
    return {candidates.front().id, choice_proof::kUnproved};
  }
  return chosen;
}

action_list Wait(replacement_state& state, const group_health& group,
                 const replacement_settings& settings, time_point now) {
  DropResumedReplicas(state, group);
  if (!IsFenced(state, group)) {
    EnterPhase(state, replacement_phase::kFencing, now);
    return Fence(state, group, settings, now);
  }
  if (now - state.fenced_at < kPrimaryLeaseDuration) {
    return {};
  }
  const promotion_choice choice = ChooseInstance(state, group, settings, now);
  state.chosen = choice.id;
  state.proof = choice.proof;
  if (state.chosen.empty()) {
    return Fence(state, group, settings, now);
  }
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
  DropResumedReplicas(state, group);
  return Fence(state, group, settings, now);
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

std::string_view ProofName(choice_proof proof) noexcept {
  switch (proof) {
    case choice_proof::kNone:
      return "none";
    case choice_proof::kHasPrimaryLog:
      return "has_primary_log";
    case choice_proof::kMostAdvanced:
      return "most_advanced";
    case choice_proof::kOldPrimary:
      return "old_primary";
    case choice_proof::kUnproved:
      return "unproved";
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
         now - state.unreplicated_since >= settings.cut_off_after;
}

bool AwaitsList(const replacement_state& state, time_point now) {
  return state.phase == replacement_phase::kWaiting &&
         state.stepped_down_position.has_value() &&
         now >= state.stepped_down_at + kEntryDelay && !IsListComplete(state);
}

std::vector<replacement_action> AdvanceReplacement(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now) {
  if (!state.observation_started_at.has_value()) {
    state.observation_started_at = now;
    state.unreplicated_since = now;
  }
  TrackMembers(state, group, now);
  const bool fencing = state.phase == replacement_phase::kFencing ||
                       state.phase == replacement_phase::kWaiting;
  const bool replaced = state.phase != replacement_phase::kWatching &&
                        HighestTerm(group) >= state.term;
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

std::vector<std::string> ListUnfenced(const replacement_state& state,
                                      const group_health& group) {
  std::vector<std::string> unfenced;
  for (const instance_health& instance : group) {
    if (instance.id != state.primary && !state.paused.contains(instance.id)) {
      unfenced.push_back(instance.id);
    }
  }
  return unfenced;
}

void RecordFenced(replacement_state& state, const group_health& group,
                  const replacement_action& action,
                  const instance_status& status, time_point now) {
  if (state.phase == replacement_phase::kWatching ||
      action.term != state.term) {
    return;
  }
  if (action.kind == replacement_action_kind::kStepDown &&
      action.instance == state.primary && !status.is_primary) {
    if (!state.stepped_down_position.has_value()) {
      state.stepped_down_at = now;
    }
    state.stepped_down_position = status.received;
  }
  if (action.kind == replacement_action_kind::kPauseReplication &&
      status.paused_term >= state.term) {
    state.paused[action.instance] = {status.received, now};
  }
  CompleteFence(state, group, now);
}

void RecordPromoted(replacement_state& state, const replacement_action& action,
                    bool accepted, time_point now) {
  if (state.phase != replacement_phase::kPromoting ||
      action.instance != state.chosen || accepted) {
    return;
  }
  EnterPhase(state, replacement_phase::kFencing, now);
}

}  // namespace sassafraswick
