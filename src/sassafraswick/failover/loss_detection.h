#ifndef SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_
#define SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_

#include <optional>
#include <string>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Detects from the responses of a group's instances whether its primary must
/// be replaced.

namespace sassafraswick {

/// Returns the highest term that any instance reported; zero if none did.
[[nodiscard]] term_number HighestTerm(const group_health& group);

/// Finds an instance by identifier.
/// @return Null if no instance has that identifier.
[[nodiscard]] const instance_health* FindInstance(const group_health& group,
                                                  const std::string& id);

/// Returns the instance that last reported itself primary of the highest known
/// term, or null if there is none.
[[nodiscard]] const instance_health* FindCurrentPrimary(
    const group_health& group);

/// Returns whether an instance responded to the last request, and its process
/// has not ended since.
[[nodiscard]] bool IsResponsive(const instance_health& instance);

/// Returns whether a listed instance's entry says that it leads, and the
/// instance has not denied it.
[[nodiscard]] bool MayLead(const instance_health& instance);

/// Returns whether an instance's process has ended for good: another one runs
/// at its address, or it announced its stop, its entry is gone and nothing
/// listens there. A next process at the address has its own entry.
[[nodiscard]] bool HasEnded(const instance_health& instance);

/// Returns whether an instance answered a request that was sent at most
/// `heard_within` ago, so that the process that answered still runs.
[[nodiscard]] bool HasJustResponded(const instance_health& instance,
                                    const replacement_settings& settings,
                                    time_point now);

/// Tracks whether replicas receive the primary's entries. Once one of them has
/// received the entry `state.unreplicated`, the primary's last entry replaces
/// it.
void TrackReplication(replacement_state& state, const group_health& group,
                      const std::string& primary, time_point now);

/// Returns whether a primary is replaced because it does not respond. It may
/// come back and lead again.
[[nodiscard]] bool IsPresumedLost(replacement_cause cause) noexcept;

/// Returns why the primary must be replaced, or `kNone`.
[[nodiscard]] replacement_cause FindReplacementCause(
    const replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_
