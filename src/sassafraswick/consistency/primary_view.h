#ifndef SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_
#define SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_

#include <deque>
#include <optional>
#include <string>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// Tracks, from the responses that a host receives anyway, whether a database
/// group's primary still holds its lease and which log position covers all
/// writes acknowledged before a given time.
///
/// A promoter first fences the primary, so that it can acknowledge no more
/// writes: the primary steps down, or all other instances pause replication.
/// The promoter then waits for `kPrimaryLeaseDuration` before it promotes a
/// successor. A proof of leadership is a request whose response shows that the
/// primary was not fenced when the request was sent: a write acknowledged with
/// a synchronous replica, or matching status responses of the primary and a
/// replica. While the request of the newest proof is younger than the lease
/// duration, no successor has been promoted.

namespace sassafraswick {

/// Time for which a proof of leadership is valid, and which a promoter waits
/// between fencing and promotion. A shorter duration requires more status
/// requests, a longer one lengthens failovers.
inline constexpr duration kPrimaryLeaseDuration =
    std::chrono::milliseconds(500);

/// Time for which reported positions of the primary are kept. Must exceed the
/// largest staleness that a route may accept by the deployment's requirements
/// (2,500 ms).
inline constexpr duration kPositionRetention = std::chrono::milliseconds(6000);
/// Minimum time between two positions that are kept.
inline constexpr duration kMinPositionInterval = std::chrono::milliseconds(40);

/// A log position and the time of the request that returned it.
struct position_sample {
  log_point position;
  time_point requested_at;
};

/// What one host knows about a group's primary.
struct primary_view {
  term_number term = 0;
  /// Instance last known to be primary of `term`; empty if unknown.
  std::string primary;
  /// When the request behind the newest proof of leadership was sent.
  std::optional<time_point> proof_requested_at;
  /// Positions reported by the primary, oldest first. The newest one is always
  /// kept, even within `kMinPositionInterval` of the one before it.
  std::deque<position_sample> positions;
};

/// Records that an instance reported itself primary of a term.
/// @return True if the view changed.
bool RecordPrimary(primary_view& view, const std::string& instance,
                   term_number term);

/// Records that an instance reported that it is not primary, or that its
/// response carried a higher term than the view's. Clears the known primary if
/// this contradicts it.
/// @return True if the view changed.
bool RecordNotPrimary(primary_view& view, const std::string& instance,
                      term_number term);

/// Records a proof that the primary of `term` had not been fenced when the
/// request was sent.
void RecordProof(primary_view& view, term_number term, time_point requested_at);

/// Records a position reported by an instance. Ignored unless the instance is
/// the known primary, the term is current and the request is the newest.
void RecordPosition(primary_view& view, const std::string& instance,
                    log_point position, time_point requested_at);

/// Returns whether responses that an instance returned by `now` came from the
/// primary, before any successor acknowledged its first write.
/// @param instance Instance that responded.
/// @param term Term of which it was primary when the statement was planned.
[[nodiscard]] bool IsPrimaryLeaseValid(const primary_view& view,
                                       const std::string& instance,
                                       term_number term, time_point now);

/// Returns the lowest known position that covers every write acknowledged
/// before a given time. A lower position can be served by more replicas.
/// @return Nothing if no position is proved to cover them.
[[nodiscard]] std::optional<log_point> CoveringPosition(
    const primary_view& view, time_point acknowledged_before);

/// Returns the lowest position that a commit can have. The position in its
/// response may include later entries, which nothing else has received yet.
/// @param known_before Newest position of the primary that was known when the
/// commit was sent.
/// @param response_term Term of the response to the commit.
/// @return Nothing if no position of that term was known.
[[nodiscard]] std::optional<log_point> LowestCommitPosition(
    const std::optional<log_point>& known_before, term_number response_term);

/// The newest proof and position of a view, for another host. Ages stand in for
/// times because the hosts' clocks differ.
struct view_report {
  term_number term = 0;
  std::string primary;
  duration proof_age = duration::zero();
  log_position position = 0;
  duration position_age = duration::zero();
};

/// Creates a report of a view for another host.
/// @return Nothing if the primary's lease has expired or no position is known.
[[nodiscard]] std::optional<view_report> MakeViewReport(
    const primary_view& view, time_point now);

/// Merges another host's report into a view. The ages were measured after the
/// request for the report was sent, so subtracting them from its send time
/// never makes the proof or the position appear newer than it is.
/// @return True if the term or the primary changed.
bool ApplyViewReport(primary_view& view, const view_report& report,
                     time_point request_sent_at);

/// Log position of a session's own last write.
struct session_position {
  log_point point;
  /// When the write was acknowledged.
  time_point acknowledged_at;
};

/// Returns a position that covers every write acknowledged before a given time
/// and the session's own last write.
/// @return Nothing if no position is proved to cover them.
[[nodiscard]] std::optional<log_point> RequiredPosition(
    const primary_view& view, time_point acknowledged_before,
    const std::optional<session_position>& own_position);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_
