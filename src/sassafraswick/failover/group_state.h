#ifndef SASSAFRASWICK_FAILOVER_GROUP_STATE_H_
#define SASSAFRASWICK_FAILOVER_GROUP_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// What one host knows of a database group, and what follows from it: who is
/// primary, until when writes may be acknowledged, what a majority holds.

namespace sassafraswick {

/// Index of an instance within its group.
using instance_index = std::size_t;

enum class instance_role : std::uint8_t { kReplica, kPrimary };

/// What an instance says of itself.
struct instance_report {
  term_number term = 0;
  instance_role role = instance_role::kReplica;
  /// Last entry received.
  log_point log_end;
  /// Last position visible to readers.
  log_position applied = 0;
  /// Upper bound of the age of what readers see; zero on a primary.
  duration lag = duration::zero();
  /// Time since the instance last heard its primary; zero on a primary.
  duration primary_silence = duration::zero();
  term_history history;
};

/// How the last attempt to ask an instance ended.
enum class contact_result : std::uint8_t {
  kNever,
  kAnswered,
  /// No answer in time.
  kSilent,
  /// The connection was refused or reset: no process answers there.
  kRefused,
};

/// One instance as seen by this host.
struct instance_entry {
  endpoint address;
  std::string availability_zone;
  bool leaving = false;
  contact_result last_contact = contact_result::kNever;
  std::optional<instance_report> report;
  /// When the question behind `report` was sent.
  time_point requested_at;
  /// When `report` arrived.
  time_point answered_at;
};

/// One database group as seen by this host.
struct group_state {
  std::string pool;
  std::vector<instance_entry> instances;
};

/// Instances needed so that any two such sets overlap.
[[nodiscard]] constexpr std::size_t MajoritySize(std::size_t count) noexcept {
  return count / 2 + 1;
}

/// Stores an answer unless a newer question has been answered already.
/// @param requested_at When the question was sent, on this host's clock.
void RecordReport(group_state& group, instance_index instance,
                  const instance_report& report, time_point requested_at,
                  time_point now);

/// Notes that an instance did not answer.
void RecordFailure(group_state& group, instance_index instance,
                   contact_result outcome);

/// Highest term that any instance reported.
[[nodiscard]] term_number CurrentTerm(const group_state& group) noexcept;

/// The instance that reported itself primary of the current term.
[[nodiscard]] std::optional<instance_index> FindPrimary(
    const group_state& group) noexcept;

/// Time until which this host may acknowledge writes of a term.
///
/// A promoter raises the term on a majority and then waits for `window` before
/// it promotes. Any majority of reports overlaps with the promoter's, so while
/// a majority's questions are younger than `window`, no successor has been
/// promoted.
/// @return `time_point::min()` if no majority reported the term.
[[nodiscard]] time_point PrimaryLeaseExpiry(const group_state& group,
                                            term_number term, duration window);

/// Highest position of a term that a majority of instances holds.
/// @return Zero if no majority reported entries of the term.
[[nodiscard]] log_position DurablePosition(const group_state& group,
                                           term_number term);

/// Starts of all terms known, merged from the newest report.
[[nodiscard]] term_history KnownHistory(const group_state& group);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_GROUP_STATE_H_
