#ifndef SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_
#define SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_

#include <deque>
#include <optional>
#include <string>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// What a host can prove of a database group's primary from the answers that it
/// sees anyway: that no successor can have acknowledged a write yet, and which
/// log position holds everything acknowledged before a moment.
///
/// A promoter first makes sure that the primary can acknowledge nothing more:
/// it takes the role from it, or stops all other instances from receiving. From
/// then on it waits for `primary_lease_duration` before it promotes. A proof is
/// a question to which the group's answer shows that this had not happened yet:
/// a write that was acknowledged with a synchronous replica, or a primary and a
/// replica that both say so. While the newest proof's question is younger than
/// the window, no successor leads.

namespace sassafraswick {

/// Time that a promoter waits after fencing, and for which a proof holds.
/// Shorter windows cost more questions, longer ones lengthen failovers.
inline constexpr duration kPrimaryLeaseDuration =
    std::chrono::milliseconds(500);

/// Positions that the primary showed are kept for this long. Beyond the oldest
/// age that the users' routes accept (2,500 ms).
inline constexpr duration kPositionRetention = std::chrono::milliseconds(6000);
/// Shortest time between two kept positions.
inline constexpr duration kMinPositionInterval = std::chrono::milliseconds(40);

/// A position and when it was asked for.
struct position_sample {
  log_point position;
  time_point requested_at;
};

/// One host's knowledge of a group's primary.
struct primary_view {
  term_number term = 0;
  /// Instance that led `term` when last heard; empty if unknown.
  std::string primary;
  /// When the question of the newest proof was sent.
  std::optional<time_point> proof_requested_at;
  /// Positions that the primary showed, oldest first. The last one is the
  /// newest, whatever the spacing.
  std::deque<position_sample> positions;
};

/// Notes that an instance said it leads a term.
/// @return True if the view changed.
bool RecordPrimary(primary_view& view, const std::string& instance,
                   term_number term);

/// Notes that an instance said it does not lead, or that an answer carried a
/// term. Forgets the primary if the answer contradicts it.
/// @return True if the view changed.
bool RecordNotPrimary(primary_view& view, const std::string& instance,
                      term_number term);

/// Notes a proof that `term` had not been fenced when the question was sent.
void RecordProof(primary_view& view, term_number term, time_point requested_at);

/// Notes the position that the primary showed.
void RecordPosition(primary_view& view, const std::string& instance,
                    log_point position, time_point requested_at);

/// Tells whether answers of an instance that have arrived by `now` came from
/// the primary and from before any successor's first acknowledged write.
/// @param instance Instance that answered.
/// @param term Term that it led when the statement was planned.
[[nodiscard]] bool IsPrimaryLeaseValid(const primary_view& view,
                                       const std::string& instance,
                                       term_number term, time_point now);

/// The lowest known position that holds every write acknowledged before
/// `moment`: the fewer entries a read asks for, the more replicas have them.
/// @return Nothing if none is proved.
[[nodiscard]] std::optional<log_point> CoveringPosition(
    const primary_view& view, time_point acknowledged_before);

/// The newest proof and position of a view, with their ages.
struct view_report {
  term_number term = 0;
  std::string primary;
  duration proof_age = duration::zero();
  log_position position = 0;
  duration position_age = duration::zero();
};

/// Describes a view for another host.
/// @return Nothing if it proves nothing now.
[[nodiscard]] std::optional<view_report> MakeViewReport(
    const primary_view& view, time_point now);

/// Takes over another host's report. Its ages counted from a moment after the
/// question was sent, so counted from there they are a safe bound.
/// @return True if term or primary changed.
bool ApplyViewReport(primary_view& view, const view_report& report,
                     time_point request_sent_at);

/// A session's own place in a group's log.
struct session_position {
  log_point point;
  /// When the write was acknowledged.
  time_point acknowledged_at;
};

/// A position that holds every write acknowledged before `moment` and the
/// session's own.
/// @return Nothing if none is proved.
[[nodiscard]] std::optional<log_point> RequiredPosition(
    const primary_view& view, time_point acknowledged_before,
    const std::optional<session_position>& own_position);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_PRIMARY_VIEW_H_
