#include "sassafraswick/failover/successor_choice.h"

#include <algorithm>
#include <vector>

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

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

}  // namespace

bool IsListComplete(const replacement_state& state) {
  return state.list_read_at >= state.stepped_down_at + kEntryDelay;
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

}  // namespace sassafraswick
