#ifndef SASSAFRASWICK_FAILOVER_REPLACEMENT_H_
#define SASSAFRASWICK_FAILOVER_REPLACEMENT_H_

#include <vector>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Replaces the primary of a group whose instances accept fencing requests from
/// hosts and are promoted by an external platform.
///
/// The host that holds the failover lease fences the primary (it steps down, or
/// all other instances pause replication), waits for the primary lease to
/// expire, and requests the promotion of an instance that provably has every
/// acknowledged write. A write is acknowledged once one replica has received
/// it, so the most advanced of all other instances has every acknowledged
/// write.

namespace sassafraswick {

/// Advances the replacement of a group's primary. Called periodically.
/// @return Actions to carry out now.
[[nodiscard]] std::vector<replacement_action> AdvanceReplacement(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

/// Returns whether the primary may be partitioned from its replicas, because
/// their last known positions have lacked one of its entries for
/// `cut_off_after`. The caller should then request their status at once.
[[nodiscard]] bool MayBeCutOff(const replacement_state& state,
                               const replacement_settings& settings,
                               time_point now);

/// Returns whether the choice depends on a read of the list of instances, which
/// the caller should then request.
[[nodiscard]] bool AwaitsList(const replacement_state& state, time_point now);

/// Returns whether a promotion that was decided may still be sent: the fence
/// holds, and the old primary does not lead.
[[nodiscard]] bool MayPromote(const replacement_state& state,
                              const group_health& group);

/// Records an instance's response to `kStepDown` or `kPauseReplication`.
void RecordFenced(replacement_state& state, const group_health& group,
                  const replacement_action& action,
                  const instance_status& status, time_point now);

/// Records the platform's response to `kPromote`.
void RecordPromoted(replacement_state& state, const replacement_action& action,
                    order_result outcome, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_REPLACEMENT_H_
