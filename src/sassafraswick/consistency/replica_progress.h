#ifndef SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_
#define SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// Estimates, from a replica's ordinary responses, how far it lags behind the
/// primary and when it can serve a read. The estimate need not be exact: a
/// replica rejects a read that requires a position it has not applied.

namespace sassafraswick {

/// Maximum age of a response from which a replica's lag is estimated.
inline constexpr duration kMaxProgressAge = std::chrono::milliseconds(500);
/// Minimum wait for a replica that was last seen behind the position of a read:
/// half of the shortest usual lag in the deployment's requirements (8 ms), plus
/// a margin.
inline constexpr duration kMinCatchUpWait = std::chrono::milliseconds(8);

/// Replication progress as of a replica's last response.
struct replica_progress {
  /// Last position visible to the replica's readers.
  log_point visible_point;
  time_point observed_at;
  /// Time since the primary first reported a position beyond `visible_point`.
  duration lag = duration::zero();
};

/// Records the position that a replica reported.
void RecordProgress(replica_progress& progress, const primary_view& view,
                    log_point visible_point, time_point now);

/// Estimates the time until a replica has applied a position.
/// @return Zero if it has, or if no recent response shows that it lags.
[[nodiscard]] duration EstimateCatchUpWait(const replica_progress& progress,
                                           const primary_view& view,
                                           log_point required, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_
