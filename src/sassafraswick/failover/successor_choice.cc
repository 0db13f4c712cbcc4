#include "sassafraswick/failover/successor_choice.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "sassafraswick/consistency/commit_proof.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

/// Whether an instance can be promoted.
enum class usability : std::uint8_t {
  kResponds,
  /// It responds, but has not just done so: it is slow or busy.
  kSlow,
  /// It does not respond to this host. It may run all the same.
  kSilent,
  /// It is not running.
  kNone,
};

/// An instance whose last log entry is known.
struct candidate {
  std::string id;
  log_point end;
  bool leaving = false;
  time_point leaving_since;
  usability usable = usability::kNone;
  /// Since when it has not responded.
  std::optional<time_point> unusable_since;
};

bool IsBetter(const candidate& left, const candidate& right) {
  if (left.end != right.end) {
    return IsBehind(right.end, left.end);
  }
  if (left.usable != right.usable) {
    return left.usable < right.usable;
  }
  if (left.leaving != right.leaving) {
    return right.leaving;
  }
  // The one that began to leave last stays longest.
  return left.leaving && right.leaving_since < left.leaving_since;
}

usability UsabilityOf(const replacement_state& state,
                      const instance_health& instance,
                      const replacement_settings& settings, time_point now) {
  const auto not_running = state.not_running.find(instance.id);
  const bool is_down = not_running != state.not_running.end() &&
                       instance.requested_at <= not_running->second;
  if (is_down || instance.refused_since.has_value()) {
    return usability::kNone;
  }
  if (IsResponsive(instance)) {
    return HasJustResponded(instance, settings, now) ? usability::kResponds
                                                     : usability::kSlow;
  }
  return instance.listed ? usability::kSilent : usability::kNone;
}

/// Returns the instances, except the old primary, that reported their last log
/// entry after the fence or when they paused replication. The best candidate
/// comes first. The position of one that has stopped since tells what it may
/// have confirmed.
std::vector<candidate> CollectCandidates(const replacement_state& state,
                                         const group_health& group,
                                         const replacement_settings& settings,
                                         time_point now) {
  std::vector<candidate> found;
  for (const instance_health& instance : group) {
    if (instance.id == state.primary || instance.replaced) {
      continue;
    }
    const usability usable = UsabilityOf(state, instance, settings, now);
    const auto paused = state.paused.find(instance.id);
    const bool current =
        IsResponsive(instance) && instance.requested_at >= state.fenced_at;
    const std::optional<time_point> unusable_since =
        std::max(instance.silent_since, instance.refused_since);
    if (current) {
      found.push_back({instance.id, instance.status->received, instance.leaving,
                       instance.leaving_since, usable, unusable_since});
    } else if (paused != state.paused.end()) {
      found.push_back({instance.id, paused->second.received, instance.leaving,
                       instance.leaving_since, usable, unusable_since});
    }
  }
  std::sort(found.begin(), found.end(), IsBetter);
  return found;
}

/// Returns the number of instances whose last log entries must be known.
std::size_t CountOthers(const replacement_state& state,
                        const group_health& group) {
  return static_cast<std::size_t>(std::count_if(
      group.begin(), group.end(), [&state](const instance_health& instance) {
        return instance.id != state.primary && !HasEnded(instance);
      }));
}

/// Returns whether a process may have had entries. An instance without any then
/// proves nothing. A group has none if its last primary is known to have none.
bool MayHaveHadEntries(const replacement_state& state,
                       const group_health& group) {
  const instance_health* const primary = FindLastPrimary(state, group);
  const bool began_empty = primary != nullptr && primary->status.has_value() &&
                           primary->status->received.position == 0;
  return !began_empty || state.acknowledged.position > 0 ||
         std::any_of(
             state.members.begin(), state.members.end(),
             [](const std::pair<const process_key, group_member>& member) {
               return member.second.received.position > 0;
             });
}

/// Returns whether the promotion of a candidate may already take effect, so
/// that it is preferred to others.
bool WasOrdered(const replacement_state& state, const candidate& each) {
  return state.order.has_value() && state.order->instance == each.id;
}

/// Returns whether an acknowledged commit is known that no instance with this
/// last log entry has.
bool LacksAcknowledged(const replacement_state& state, const log_point& end) {
  return IsBehind(end, state.acknowledged);
}

/// Returns whether an instance that stays may still receive entries: it
/// responds and has not paused.
bool MayCatchUp(const replacement_state& state, const group_health& group) {
  return std::any_of(
      group.begin(), group.end(), [&state](const instance_health& each) {
        return each.id != state.primary && !each.leaving &&
               IsResponsive(each) && !state.paused.contains(each.id);
      });
}

/// Chooses among instances that provably have every acknowledged write.
/// Instances that do not respond are chosen only after `catch_up_timeout`, and
/// those that leave, too, while one that stays may respond or catch up. Behind
/// a fence by pauses, an outage of the store does not prevent a promotion.
promotion_choice ChooseProved(const replacement_state& state,
                              const group_health& group,
                              const std::vector<candidate>& candidates,
                              bool timed_out, bool list_timed_out) {
  // An instance that is not listed yet may have confirmed what only the primary
  // has besides.
  const bool list_suffices =
      IsListComplete(state) ||
      (!state.stepped_down_position.has_value() && list_timed_out);
  const bool all_known = list_suffices && !candidates.empty() &&
                         candidates.size() >= CountOthers(state, group) &&
                         !IsPrimaryAlone(state) &&
                         !LastMemberLeftAt(state, state.primary).has_value();
  promotion_choice ready;
  promotion_choice leaving;
  promotion_choice late;
  bool awaits_staying = MayCatchUp(state, group);
  for (const candidate& each : candidates) {
    if (each.end.position == 0 && MayHaveHadEntries(state, group)) {
      continue;
    }
    const bool has_primary_log =
        state.stepped_down_position.has_value() &&
        !IsBehind(each.end, *state.stepped_down_position);
    const bool is_most_advanced =
        all_known && !IsBehind(each.end, candidates.front().end);
    if (each.usable == usability::kNone || LacksAcknowledged(state, each.end) ||
        (!has_primary_log && !is_most_advanced)) {
      continue;
    }
    promotion_choice choice = {each.id, has_primary_log
                                            ? choice_proof::kHasPrimaryLog
                                            : choice_proof::kMostAdvanced};
    const bool is_ordered = WasOrdered(state, each);
    const bool responds = each.usable == usability::kResponds;
    awaits_staying = awaits_staying || !each.leaving;
    if (responds && !each.leaving && (is_ordered || ready.id.empty())) {
      ready = choice;
    } else if (is_ordered || late.id.empty()) {
      late = choice;
    }
    if (responds && (is_ordered || leaving.id.empty())) {
      leaving = choice;
    }
  }
  if (!ready.id.empty()) {
    return ready;
  }
  if (timed_out) {
    return late;
  }
  return awaits_staying ? promotion_choice() : leaving;
}

/// Returns since when the old primary, which may have the only copy of what
/// others confirmed, has not responded; nothing if it can't return.
std::optional<time_point> PrimaryAwaySince(const replacement_state& state,
                                           const group_health& group,
                                           time_point now) {
  const instance_health* const primary = FindInstance(group, state.primary);
  if (primary == nullptr || primary->replaced) {
    return std::nullopt;
  }
  return IsResponsive(*primary)
             ? now
             : std::max(primary->silent_since, primary->refused_since);
}

/// Chooses the most advanced instance that responds, once those that may have
/// more have been away for `member_return_timeout`.
promotion_choice ChooseUnproved(const std::vector<candidate>& candidates,
                                time_point left_at,
                                const replacement_settings& settings,
                                time_point now) {
  time_point away_since = left_at;
  for (const candidate& each : candidates) {
    if (each.usable == usability::kResponds ||
        each.usable == usability::kSlow) {
      const bool gives_up = now - away_since >= settings.member_return_timeout;
      return gives_up ? promotion_choice{each.id, choice_proof::kUnproved}
                      : promotion_choice();
    }
    away_since = std::max(away_since, each.unusable_since.value_or(now));
  }
  return {};
}

/// Returns whether the old primary stepped down and may run though it does not
/// respond to this host: it is listed, and the platform has not said otherwise.
bool MayRunSteppedDown(const replacement_state& state,
                       const group_health& group,
                       const replacement_settings& settings, time_point now) {
  const instance_health* const primary = FindInstance(group, state.primary);
  return state.stepped_down_position.has_value() && primary != nullptr &&
         !primary->replaced &&
         UsabilityOf(state, *primary, settings, now) == usability::kSilent;
}

/// Returns whether the old primary stepped down and still responds. It has
/// every acknowledged write.
bool CanPromoteOldPrimary(const replacement_state& state,
                          const group_health& group) {
  const instance_health* const primary = FindInstance(group, state.primary);
  return state.stepped_down_position.has_value() && primary != nullptr &&
         primary->listed && IsResponsive(*primary) &&
         !IsBehind(primary->status->received, *state.stepped_down_position);
}

/// Returns whether all instances except the old primary are known to lack an
/// acknowledged commit. What confirmed it is not listed yet, or has left.
bool AllLackAcknowledged(const replacement_state& state,
                         const group_health& group,
                         const std::vector<candidate>& candidates) {
  return !candidates.empty() &&
         candidates.size() >= CountOthers(state, group) &&
         LacksAcknowledged(state, candidates.front().end);
}

}  // namespace

time_point ListNeededAt(const replacement_state& state) {
  return state.stepped_down_position.has_value()
             ? state.stepped_down_at + kEntryDelay
             : state.fenced_at + kListReadDelay;
}

bool IsListComplete(const replacement_state& state) {
  return state.list_read_at >= ListNeededAt(state);
}

bool AwaitsAcknowledged(const replacement_state& state,
                        const replacement_settings& settings,
                        time_point asked_at, time_point now) {
  return state.phase == replacement_phase::kWaiting &&
         (asked_at < state.fenced_at ||
          now - asked_at >= settings.retry_interval);
}

promotion_choice ChooseInstance(const replacement_state& state,
                                const group_health& group,
                                const replacement_settings& settings,
                                time_point now) {
  const std::vector<candidate> candidates =
      CollectCandidates(state, group, settings, now);
  const bool is_primary_ordered =
      state.order.has_value() && state.order->instance == state.primary;
  if (is_primary_ordered && CanPromoteOldPrimary(state, group)) {
    return {state.primary, choice_proof::kOldPrimary};
  }
  const duration waited =
      std::chrono::duration_cast<duration>(now - state.fenced_at);
  const bool timed_out = waited >= settings.catch_up_timeout;
  const bool list_timed_out =
      !IsListComplete(state) && waited >= settings.list_timeout;
  const bool is_hidden = IsNewestTermHidden(state, group);
  promotion_choice chosen = is_hidden ? promotion_choice()
                                      : ChooseProved(state, group, candidates,
                                                     timed_out, list_timed_out);
  if (!chosen.id.empty()) {
    return chosen;
  }
  const bool all_lack = AllLackAcknowledged(state, group, candidates);
  if ((timed_out || list_timed_out || all_lack) && !is_hidden &&
      CanPromoteOldPrimary(state, group)) {
    return {state.primary, choice_proof::kOldPrimary};
  }
  if (!timed_out) {
    return chosen;
  }
  const std::optional<time_point> last_left_at =
      LastMemberLeftAt(state, state.primary);
  const bool is_empty = !candidates.empty() &&
                        candidates.front().end.position == 0 &&
                        MayHaveHadEntries(state, group);
  if (!last_left_at.has_value() && !is_empty && !all_lack && !is_hidden &&
      !IsPrimaryAlone(state)) {
    return chosen;
  }
  const time_point away_since = std::max(
      {last_left_at.value_or(state.first_fenced_at.value_or(state.fenced_at)),
       is_hidden ? state.heard_at : time_point(),
       PrimaryAwaySince(state, group, now).value_or(time_point())});
  chosen = ChooseUnproved(candidates, away_since, settings, now);
  const bool prefers_primary =
      !chosen.id.empty() && MayRunSteppedDown(state, group, settings, now);
  return prefers_primary
             ? promotion_choice{state.primary, choice_proof::kOldPrimary}
             : chosen;
}

}  // namespace sassafraswick
