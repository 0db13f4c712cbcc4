#ifndef SASSAFRASWICK_FAILOVER_GROUP_MEMBERS_H_
#define SASSAFRASWICK_FAILOVER_GROUP_MEMBERS_H_

#include <optional>
#include <string>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Tracks the processes that may have confirmed writes of the current term,
/// also after they have left. An identifier or an address may pass from one
/// process to another, which knows nothing of what the first one confirmed.

namespace sassafraswick {

/// Returns the process that an instance runs now.
[[nodiscard]] process_key ProcessOf(const instance_health& instance);

/// Returns whether a process was primary of the current term.
[[nodiscard]] bool WasTermPrimary(const replacement_state& state,
                                  const process_key& process);

/// Returns the instance whose process led `members_term` last, as long as that
/// process runs; null if it isn't known or another one may lead by now. A
/// term's next primary is the next process of the one before.
[[nodiscard]] const instance_health* FindLastPrimary(
    const replacement_state& state, const group_health& group);

/// Returns whether no instance is known to be in the newest term. What was
/// acknowledged in it is then not known either.
[[nodiscard]] bool IsNewestTermHidden(const replacement_state& state,
                                      const group_health& group);

/// Returns whether a status is that of another process than an earlier status
/// under the same identifier: a process' term never falls, and within a term it
/// loses no entries.
[[nodiscard]] bool IsOtherProcess(const instance_status& earlier,
                                  const instance_status& later);

/// Tracks which processes may have confirmed writes of the current term. One
/// that has left is kept, for however long, until a remaining replica has what
/// the primary had after that, or a higher term begins.
void TrackMembers(replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now);

/// Returns whether writes of earlier terms may be on the primary only, as no
/// other process has joined its term.
[[nodiscard]] bool IsPrimaryAlone(const replacement_state& state);

/// Returns when the last of the members left that may have confirmed writes
/// which no remaining replica has; nothing if there is none.
/// @param primary The primary, which confirms no writes of its own.
[[nodiscard]] std::optional<time_point> LastMemberLeftAt(
    const replacement_state& state, const std::string& primary);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_GROUP_MEMBERS_H_
