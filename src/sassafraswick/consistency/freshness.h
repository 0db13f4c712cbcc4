#ifndef SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_
#define SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// Decides which instances can be proved fresh enough for a read.

namespace sassafraswick {

/// How fresh a read must be. Without any member set, only the primary serves.
struct read_requirement {
  /// The answer must show everything up to this point.
  std::optional<log_point> min_point;
  /// The answer may be this old.
  std::optional<duration> max_staleness;
};

/// Tells whether any replica may serve the requirement at all.
[[nodiscard]] constexpr bool AllowsReplica(
    const read_requirement& requirement) noexcept {
  return requirement.min_point.has_value() ||
         requirement.max_staleness.has_value();
}

/// Tells whether an instance shows everything up to a point.
///
/// The instance's newest entry must be of the point's term or a later one:
/// then its log holds the point unless a promotion discarded it, which the
/// caller checks with `IsDiscarded`.
[[nodiscard]] bool HasApplied(const instance_entry& instance, log_point point);

/// Upper bound of the age of what an instance shows.
///
/// Its own lag, plus the time since it was asked. Data is known to be current
/// only up to the last moment at which no successor of the instance's term
/// could have acknowledged a write, which is the permit's expiry.
/// @return Nothing if the instance has not reported the current term.
[[nodiscard]] std::optional<duration> StalenessBound(
    const group_state& group, const instance_entry& instance,
    duration primary_lease_duration, time_point now);

/// Lists the replicas that can serve a read now.
/// @return Indexes into `group.instances`; leaving instances are left out.
[[nodiscard]] std::vector<instance_index> FreshReplicas(
    const group_state& group, const read_requirement& requirement,
    duration primary_lease_duration, time_point now);

/// Tells whether the primary may serve reads now.
/// @return The primary if no successor can have acknowledged a write yet.
[[nodiscard]] std::optional<instance_index> PrimaryWithValidLease(
    const group_state& group, duration primary_lease_duration, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_
