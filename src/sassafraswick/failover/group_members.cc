#include "sassafraswick/failover/group_members.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

/// Returns whether a process can no longer be asked: its instance is not listed
/// or runs another process, or it announced that it will stop and does not
/// respond.
bool HasLeft(const instance_health* instance, const process_key& process) {
  return instance == nullptr || instance->seen_since != process.second ||
         !instance->listed || instance->replaced ||
         (instance->leaving && !IsResponsive(*instance));
}

/// Returns whether a listed replica other than a process that has left has
/// received all entries up to a position.
bool IsCovered(const group_health& group, const std::string& primary,
               const process_key& left, const log_point& bound) {
  return std::any_of(
      group.begin(), group.end(), [&](const instance_health& instance) {
        return instance.id != primary && ProcessOf(instance) != left &&
               instance.listed && !instance.replaced &&
               instance.status.has_value() &&
               !IsBehind(instance.status->received, bound);
      });
}

/// Returns the last entry that a process had received when it paused
/// replication; nothing if it did not pause.
std::optional<log_point> PausedAt(const replacement_state& state,
                                  const process_key& process,
                                  const group_member& member,
                                  const instance_health* instance) {
  const auto paused = state.paused.find(process.first);
  if (paused == state.paused.end() || paused->second.since < process.second) {
    return std::nullopt;
  }
  if (IsBehind(paused->second.received, member.received)) {
    // Another process answered, before its entry was known.
    return std::nullopt;
  }
  const bool by_other_process = instance != nullptr &&
                                instance->seen_since != process.second &&
                                instance->seen_since <= paused->second.since;
  return by_other_process ? std::nullopt
                          : std::optional<log_point>(paused->second.received);
}

/// Returns the log position of the next process at an address, which has the
/// log of the one that ended there. It has no entries of the primary's besides,
/// as nothing listened at its address after the primary had ended.
std::optional<log_point> InheritedPosition(const replacement_state& state,
                                           const group_health& group,
                                           const group_member& member,
                                           const instance_health* instance) {
  const instance_health* const primary = FindInstance(group, state.primary);
  const bool started_later = instance != nullptr && instance->replaced &&
                             primary != nullptr &&
                             primary->refused_since.has_value() &&
                             instance->refused_since.has_value() &&
                             instance->refused_at > *primary->refused_since;
  if (!started_later || member.received.term == 0) {
    return std::nullopt;
  }
  const instance_health* const successor =
      FindInstance(group, instance->successor);
  const bool has_log = successor != nullptr && successor->status.has_value() &&
                       !successor->replaced &&
                       !IsBehind(successor->status->received, member.received);
  return has_log ? std::optional<log_point>(successor->status->received)
                 : std::nullopt;
}

/// Updates the bound of what a process that has left may have confirmed: its
/// last entry if it was paused before or if its log was taken over, otherwise a
/// position of the primary from after it left.
void UpdateBound(group_member& member, const replacement_state& state,
                 const process_key& process, const group_health& group) {
  const instance_health* const instance = FindInstance(group, process.first);
  const std::optional<log_point> paused_at =
      PausedAt(state, process, member, instance);
  if (paused_at.has_value()) {
    member.bound = paused_at;
  }
  const instance_health* const primary = FindCurrentPrimary(group);
  const bool is_position_known =
      primary != nullptr && primary->requested_at > *member.left_at;
  if (!member.bound.has_value() && is_position_known) {
    member.bound = primary->status->received;
  }
  if (!member.bound.has_value()) {
    member.bound = InheritedPosition(state, group, member, instance);
  }
}

void TrackPrimaries(replacement_state& state, const group_health& group) {
  const instance_health* const primary = FindCurrentPrimary(group);
  for (const instance_health& instance : group) {
    const bool led =
        (&instance == primary && instance.status->term == state.members_term) ||
        (instance.led_term == state.members_term && instance.led_term != 0);
    if (led && !WasTermPrimary(state, ProcessOf(instance))) {
      state.term_primaries.push_back(ProcessOf(instance));
    }
  }
}

/// Finds out whether a process other than the primary has joined the term.
void TrackJoining(replacement_state& state, const group_health& group) {
  state.is_term_joined =
      state.is_term_joined ||
      std::any_of(
          group.begin(), group.end(), [&state](const instance_health& each) {
            return each.status.has_value() &&
                   each.status->term == state.members_term &&
                   !WasTermPrimary(state, ProcessOf(each)) &&
                   !(state.term_start.has_value() &&
                     IsBehind(each.status->received, *state.term_start));
          });
}

/// Forgets the members of earlier terms. What left shortly before this host
/// began to observe the group may have been a member, too, and is kept while
/// the host learns of the current term.
void BeginTerm(replacement_state& state, const group_health& group,
               const replacement_settings& settings, time_point now) {
  const bool is_first = state.members.empty() && state.members_term == 0;
  if (is_first) {
    for (const instance_health& instance : group) {
      state.members[ProcessOf(instance)] = group_member();
    }
  }
  // The instances that knew the term may all have left.
  const term_number term =
      std::max({state.members_term, HighestTerm(group), state.heard_term,
                state.acknowledged.term});
  const bool learns =
      state.observation_started_at.has_value() &&
      now - *state.observation_started_at < settings.observation_period;
  if (term != state.members_term) {
    state.term_primaries.clear();
    state.is_term_joined = false;
    const instance_health* const primary = FindCurrentPrimary(group);
    const bool saw_begin = !is_first && !learns && primary != nullptr &&
                           primary->status->term == term;
    state.term_start = saw_begin
                           ? std::optional<log_point>(primary->status->received)
                           : std::nullopt;
  }
  if (term != state.members_term && !learns) {
    state.members.clear();
  }
  state.members_term = term;
}

}  // namespace

process_key ProcessOf(const instance_health& instance) {
  return {instance.id, instance.seen_since};
}

bool WasTermPrimary(const replacement_state& state,
                    const process_key& process) {
  return std::find(state.term_primaries.begin(), state.term_primaries.end(),
                   process) != state.term_primaries.end();
}

const instance_health* FindLastPrimary(const replacement_state& state,
                                       const group_health& group) {
  const instance_health* last = nullptr;
  for (const instance_health& instance : group) {
    const bool led =
        !instance.replaced && WasTermPrimary(state, ProcessOf(instance));
    if (led && (last == nullptr || last->seen_since < instance.seen_since)) {
      last = &instance;
    }
  }
  const bool may_be_replaced = std::any_of(
      group.begin(), group.end(), [last](const instance_health& instance) {
        return &instance != last && MayLead(instance);
      });
  return may_be_replaced ? nullptr : last;
}

bool IsNewestTermHidden(const replacement_state& state,
                        const group_health& group) {
  return state.members_term > HighestTerm(group);
}

bool IsOtherProcess(const instance_status& earlier,
                    const instance_status& later) {
  return later.term < earlier.term ||
         (later.term == earlier.term &&
          IsBehind(later.received, earlier.received));
}

void TrackMembers(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  BeginTerm(state, group, settings, now);
  TrackPrimaries(state, group);
  TrackJoining(state, group);
  for (const instance_health& instance : group) {
    if (HasLeft(&instance, ProcessOf(instance))) {
      continue;
    }
    group_member& member = state.members[ProcessOf(instance)];
    member.left_at.reset();
    member.bound.reset();
    if (instance.status.has_value() &&
        IsBehind(member.received, instance.status->received)) {
      member.received = instance.status->received;
    }
  }
  const instance_health* const current_primary = FindCurrentPrimary(group);
  const std::string primary =
      current_primary == nullptr ? state.primary : current_primary->id;
  for (auto each = state.members.begin(); each != state.members.end();) {
    group_member& member = each->second;
    if (HasLeft(FindInstance(group, each->first.first), each->first)) {
      member.left_at = member.left_at.value_or(now);
      UpdateBound(member, state, each->first, group);
    }
    const bool is_covered =
        member.left_at.has_value() && member.bound.has_value() &&
        IsCovered(group, primary, each->first, *member.bound);
    each = is_covered ? state.members.erase(each) : std::next(each);
  }
}

bool IsPrimaryAlone(const replacement_state& state) {
  return !state.term_primaries.empty() && !state.is_term_joined;
}

std::optional<time_point> LastMemberLeftAt(const replacement_state& state,
                                           const std::string& primary) {
  std::optional<time_point> last;
  for (const std::pair<const process_key, group_member>& each : state.members) {
    if (each.first.first != primary && !WasTermPrimary(state, each.first)) {
      last = std::max(last, each.second.left_at);
    }
  }
  return last;
}

}  // namespace sassafraswick
