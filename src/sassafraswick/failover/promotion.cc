#include "sassafraswick/failover/promotion.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Maximum age of a report that is used as evidence of an instance's state.
constexpr duration kMaxReportAge = std::chrono::milliseconds(400);

bool IsFresh(const instance_entry& entry, time_point now) {
  return entry.report.has_value() &&
         entry.last_contact == contact_result::kAnswered &&
         now - entry.answered_at <= kMaxReportAge;
}

/// Returns the shortest time since any other instance received a message from
/// the primary, from fresh reports.
/// @return Nothing unless the other instances with fresh reports are a
/// majority.
std::optional<duration> MajoritySilence(const group_state& group,
                                        instance_index primary,
                                        time_point now) {
  std::optional<duration> shortest;
  std::size_t reporting = 0;
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    const instance_entry& entry = group.instances[i];
    if (i == primary || !IsFresh(entry, now)) {
      continue;
    }
    ++reporting;
    const duration silence =
        entry.report->primary_silence +
        std::chrono::duration_cast<duration>(now - entry.answered_at);
    shortest = std::min(shortest.value_or(silence), silence);
  }
  const bool enough = reporting >= MajoritySize(group.instances.size());
  return enough ? shortest : std::nullopt;
}

std::size_t CountFresh(const group_state& group, time_point now) {
  return static_cast<std::size_t>(std::count_if(
      group.instances.begin(), group.instances.end(),
      [now](const instance_entry& entry) { return IsFresh(entry, now); }));
}

promotion_cause CauseToReplacePrimary(const group_state& group,
                                      instance_index primary,
                                      const failover_settings& settings,
                                      const peer_view& peers, time_point now) {
  const instance_entry& entry = group.instances[primary];
  if (entry.leaving) {
    return promotion_cause::kLeaving;
  }
  const bool responds = IsFresh(entry, now);
  const std::optional<duration> silence = MajoritySilence(group, primary, now);
  if (silence.has_value()) {
    if (entry.last_contact == contact_result::kRefused &&
        *silence >= settings.refused_after) {
      return promotion_cause::kRefused;
    }
    if (!responds && *silence >= settings.silent_after) {
      return promotion_cause::kSilent;
    }
    if (*silence >= settings.cut_off_after) {
      return promotion_cause::kCutOff;
    }
  }
  const bool unreachable =
      !responds && !peers.primary_reachable &&
      now - entry.answered_at >= settings.unreachable_after;
  return unreachable ? promotion_cause::kUnreachable : promotion_cause::kNone;
}

/// Returns why the group needs a new primary, or `kNone`.
promotion_cause FindPromotionCause(const group_state& group,
                                   const failover_settings& settings,
                                   const peer_view& peers, time_point now) {
  if (CountFresh(group, now) < MajoritySize(group.instances.size())) {
    return promotion_cause::kNone;
  }
  const std::optional<instance_index> primary = FindPrimary(group);
  if (!primary.has_value()) {
    return promotion_cause::kOrphaned;
  }
  return CauseToReplacePrimary(group, *primary, settings, peers, now);
}

/// Returns the time for which a cause must persist before this host acts on it.
duration ActionDelay(promotion_cause cause, const failover_settings& settings,
                     const peer_view& peers) {
  const duration base = cause == promotion_cause::kOrphaned
                            ? settings.orphaned_after
                            : duration::zero();
  return base + settings.rank_delay * peers.rank;
}

void ResetToWatching(failover_state& state, time_point not_before,
                     time_point now) {
  state.phase = promotion_phase::kWatching;
  state.cause = promotion_cause::kNone;
  state.since = now;
  state.not_before = not_before;
}

std::vector<failover_command> StartFencing(failover_state& state,
                                           const group_state& group,
                                           time_point now) {
  state.phase = promotion_phase::kFencing;
  state.since = now;
  state.term = std::max(CurrentTerm(group), state.term) + 1;
  state.accepted.assign(group.instances.size(), std::nullopt);
  std::vector<failover_command> commands;
  for (instance_index i = 0; i < group.instances.size(); ++i) {
    commands.push_back({command_kind::kFence, i, state.term});
  }
  return commands;
}

std::vector<failover_command> Watch(failover_state& state,
                                    const group_state& group,
                                    const failover_settings& settings,
                                    const peer_view& peers, time_point now) {
  const promotion_cause cause = FindPromotionCause(group, settings, peers, now);
  if (cause != state.cause) {
    state.cause = cause;
    state.since = now;
  }
  const bool due = cause != promotion_cause::kNone && now >= state.not_before &&
                   now - state.since >= ActionDelay(cause, settings, peers);
  return due ? StartFencing(state, group, now)
             : std::vector<failover_command>();
}

std::size_t CountAccepted(const failover_state& state) {
  return static_cast<std::size_t>(
      std::count_if(state.accepted.begin(), state.accepted.end(),
                    [](const std::optional<log_point>& log_end) {
                      return log_end.has_value();
                    }));
}

/// Returns the most advanced instance that accepted the term. Leaving instances
/// are considered only if the others that accepted it are no majority.
instance_index SelectInstance(const failover_state& state,
                              const group_state& group) {
  std::size_t staying = 0;
  for (instance_index i = 0; i < state.accepted.size(); ++i) {
    if (state.accepted[i].has_value() && !group.instances[i].leaving) {
      ++staying;
    }
  }
  const bool skip_leaving = staying >= MajoritySize(group.instances.size());
  std::optional<instance_index> best;
  for (instance_index i = 0; i < state.accepted.size(); ++i) {
    if (!state.accepted[i].has_value() ||
        (skip_leaving && group.instances[i].leaving)) {
      continue;
    }
    if (!best.has_value() ||
        IsBehind(*state.accepted[*best], *state.accepted[i])) {
      best = i;
    }
  }
  return best.value_or(0);
}

}  // namespace

std::vector<failover_command> AdvanceFailover(failover_state& state,
                                              const group_state& group,
                                              const failover_settings& settings,
                                              const peer_view& peers,
                                              time_point now,
                                              std::uint64_t random) {
  const duration jitter(
      random % static_cast<std::uint64_t>(settings.max_retry_jitter.count()));
  const duration elapsed =
      std::chrono::duration_cast<duration>(now - state.since);
  const bool superseded = state.phase != promotion_phase::kWatching &&
                          CurrentTerm(group) > state.term;
  if (superseded) {
    ResetToWatching(state, now + jitter, now);
  }
  switch (state.phase) {
    case promotion_phase::kWatching:
      return Watch(state, group, settings, peers, now);
    case promotion_phase::kFencing:
      if (elapsed >= settings.step_timeout) {
        ResetToWatching(state, now + jitter, now);
      }
      return {};
    case promotion_phase::kWaiting:
      if (elapsed < settings.primary_lease_duration) {
        return {};
      }
      state.phase = promotion_phase::kPromoting;
      state.since = now;
      state.chosen = SelectInstance(state, group);
      return {{command_kind::kPromote, state.chosen, state.term}};
    case promotion_phase::kPromoting:
      if (elapsed >= settings.step_timeout) {
        ResetToWatching(state, now + jitter, now);
      }
      return {};
  }
  return {};
}

void RecordFence(failover_state& state, const group_state& group,
                 const failover_command& command, bool accepted,
                 log_point log_end, time_point now) {
  const bool expected = (state.phase == promotion_phase::kFencing ||
                         state.phase == promotion_phase::kWaiting) &&
                        command.term == state.term && accepted;
  if (!expected) {
    return;
  }
  state.accepted.at(command.instance) = log_end;
  const bool complete =
      CountAccepted(state) >= MajoritySize(group.instances.size());
  if (complete && state.phase == promotion_phase::kFencing) {
    state.phase = promotion_phase::kWaiting;
    state.since = now;
  }
}

void RecordPromotion(failover_state& state, const failover_command& command,
                     time_point now) {
  const bool expected =
      state.phase == promotion_phase::kPromoting && command.term == state.term;
  if (expected) {
    ResetToWatching(state, now, now);
  }
}

}  // namespace sassafraswick
