#ifndef SASSAFRASWICK_FAILOVER_FENCE_H_
#define SASSAFRASWICK_FAILOVER_FENCE_H_

#include <string>
#include <vector>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Keeps a group's instances from acknowledging writes of the old term: its
/// primary steps down, or all other instances pause replication.

namespace sassafraswick {

/// Fences every instance that is not fenced yet, also those that appeared after
/// the fence was complete: until the promotion takes effect, an old primary
/// that returns and a new replica could acknowledge writes.
/// @return Requests to send now.
[[nodiscard]] std::vector<replacement_action> Fence(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

/// Returns the instances, except the old primary, that have not confirmed that
/// they paused replication.
[[nodiscard]] std::vector<std::string> ListUnfenced(
    const replacement_state& state, const group_health& group);

/// Sets the primary that is replaced.
/// @param primary Null if none is known.
void SetPrimary(replacement_state& state, const instance_health* primary);

/// Forgets the primary's step-down once its process has ended, and the primary
/// if another process runs under its identifier.
void DropEndedPrimary(replacement_state& state, const group_health& group);

/// Removes what no longer holds: the pauses of replicas that replicate again
/// because they were restarted or told to resume, and the step-down of a
/// primary that was restarted and leads again, also under another identifier.
void DropLapsedFences(replacement_state& state, const group_health& group);

/// Returns whether no instance can acknowledge a write of the old term.
[[nodiscard]] bool IsFenced(const replacement_state& state,
                            const group_health& group);

/// Enters the next phase once the fence is complete.
void CompleteFence(replacement_state& state, const group_health& group,
                   time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_FENCE_H_
