#ifndef SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_
#define SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// How far a replica is behind, as its ordinary answers show, and when it
/// should be able to serve a read. Only an estimate: the replica itself refuses
/// a read for which its log is too short.

namespace sassafraswick {

/// Time for which an answer says something of a replica's lag.
inline constexpr duration kMaxProgressAge = std::chrono::milliseconds(500);
/// Least wait for a replica that was just behind a read's position. Half of the
/// shortest usual lag on the users' sheets (8 ms), and some.
inline constexpr duration kMinCatchUpWait = std::chrono::milliseconds(8);

/// What the last answer of a replica showed.
struct replica_progress {
  /// End of its log that its readers saw.
  log_point visible;
  time_point observed_at;
  /// Time since the primary had shown something newer.
  duration lag = duration::zero();
};

/// Notes the position that a replica showed.
void RecordProgress(replica_progress& progress, const primary_view& view,
                    log_point visible, time_point now);

/// Estimates the time until a replica shows a position.
/// @return Zero if it does, or if nothing speaks against it.
[[nodiscard]] duration EstimateCatchUpWait(const replica_progress& progress,
                                           const primary_view& view,
                                           log_point required, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_REPLICA_PROGRESS_H_
