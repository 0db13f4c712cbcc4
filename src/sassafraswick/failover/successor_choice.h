#ifndef SASSAFRASWICK_FAILOVER_SUCCESSOR_CHOICE_H_
#define SASSAFRASWICK_FAILOVER_SUCCESSOR_CHOICE_H_

#include <string>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Chooses the instance that succeeds a fenced primary.

namespace sassafraswick {

/// An instance to promote, and why it was chosen.
struct promotion_choice {
  /// Empty if no instance is to be promoted yet.
  std::string id;
  choice_proof proof = choice_proof::kNone;
};

/// Returns when the list of instances must be read, so that every instance that
/// confirmed a write which was passed on is known: after the step-down of the
/// primary or, without one, after the fence.
[[nodiscard]] time_point ListNeededAt(const replacement_state& state);

/// Returns whether the list of instances was read at that time or later.
[[nodiscard]] bool IsListComplete(const replacement_state& state);

/// Returns whether the choice depends on what other hosts have passed on, for
/// which the caller should then ask them again. What the primary acknowledged
/// last may arrive at a host after it has answered once.
/// @param asked_at When the caller asked last.
[[nodiscard]] bool AwaitsAcknowledged(const replacement_state& state,
                                      const replacement_settings& settings,
                                      time_point asked_at, time_point now);

/// Chooses an instance that has every acknowledged write; without proof only
/// once `member_return_timeout` has passed.
[[nodiscard]] promotion_choice ChooseInstance(
    const replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_SUCCESSOR_CHOICE_H_
