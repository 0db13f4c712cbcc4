#ifndef SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_
#define SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_

#include <string>

#include "sassafraswick/failover/replacement.h"

/// @file
/// Whether a group has lost its primary, as far as its instances' answers show.

namespace sassafraswick {

/// Highest term that any instance named; zero if none did.
[[nodiscard]] term_number HighestTerm(const group_health& group);

/// @return Null if no instance has that identifier.
[[nodiscard]] const instance_health* FindInstance(const group_health& group,
                                                  const std::string& id);

/// Tells whether the last question to an instance was answered.
[[nodiscard]] bool IsResponsive(const instance_health& instance);

/// Follows how far the replicas have come.
void TrackReplication(replacement_state& state, const group_health& group,
                      const std::string& primary, time_point now);

/// Finds out why the primary has to be replaced, if it has to.
[[nodiscard]] replacement_cause FindReplacementCause(
    const replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_LOSS_DETECTION_H_
