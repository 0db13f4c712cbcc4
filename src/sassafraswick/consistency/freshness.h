#ifndef SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_
#define SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// Determines which instances are provably fresh enough to serve a read.

namespace sassafraswick {

/// Freshness that a read requires. If no member is set, only the primary may
/// serve it.
struct read_requirement {
  /// The result must reflect the log up to this point.
  std::optional<log_point> min_point;
  /// Maximum age of the data in the result.
  std::optional<duration> max_staleness;
};

/// Returns whether the requirement allows a replica to serve the read.
[[nodiscard]] constexpr bool AllowsReplica(
    const read_requirement& requirement) noexcept {
  return requirement.min_point.has_value() ||
         requirement.max_staleness.has_value();
}

/// Returns whether an instance has applied its log up to a point.
///
/// The instance's last entry must belong to the point's term or a later one.
/// Its log then contains the point unless a promotion discarded it, which the
/// caller checks with `IsDiscarded`.
[[nodiscard]] bool HasApplied(const instance_entry& instance, log_point point);

/// Returns an upper bound of the age of the data that an instance serves.
///
/// The bound is the instance's lag plus the time since its status was
/// requested, but at least the time since the primary lease of its term
/// expired. After the expiry a successor may have acknowledged writes that the
/// instance lacks.
/// @return Nothing if the instance has not reported the current term.
[[nodiscard]] std::optional<duration> StalenessBound(
    const group_state& group, const instance_entry& instance,
    duration primary_lease_duration, time_point now);

/// Returns the replicas that can serve a read now.
/// @return Indexes into `group.instances`, without leaving instances.
[[nodiscard]] std::vector<instance_index> FreshReplicas(
    const group_state& group, const read_requirement& requirement,
    duration primary_lease_duration, time_point now);

/// Returns the primary if it may serve reads now: its lease rules out that a
/// successor has acknowledged a write.
[[nodiscard]] std::optional<instance_index> PrimaryWithValidLease(
    const group_state& group, duration primary_lease_duration, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_FRESHNESS_H_
