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
/// State of a database group as known to one host, and what can be derived from
/// it: the primary, until when writes may be acknowledged, and the positions
/// that a majority of instances has received.

namespace sassafraswick {

/// Index of an instance within its group.
using instance_index = std::size_t;

enum class instance_role : std::uint8_t { kReplica, kPrimary };

/// Status report of an instance.
struct instance_report {
  term_number term = 0;
  instance_role role = instance_role::kReplica;
  /// Last log entry received.
  log_point log_end;
  /// Last log position visible to readers.
  log_position applied = 0;
  /// Upper bound of the age of the data visible to readers; zero on a primary.
  duration lag = duration::zero();
  /// Time since the instance last received a message from its primary; zero on
  /// a primary.
  duration primary_silence = duration::zero();
  term_history history;
};

/// Result of the last status request to an instance.
enum class contact_result : std::uint8_t {
  kNever,
  kAnswered,
  /// No response before the timeout.
  kSilent,
  /// The connection was refused or reset: no process is listening.
  kRefused,
};

/// What this host knows about one instance.
struct instance_entry {
  endpoint address;
  std::string availability_zone;
  bool leaving = false;
  contact_result last_contact = contact_result::kNever;
  std::optional<instance_report> report;
  /// When the request that returned `report` was sent.
  time_point requested_at;
  /// When `report` arrived.
  time_point answered_at;
};

/// What this host knows about one database group.
struct group_state {
  std::string pool;
  std::vector<instance_entry> instances;
};

/// Returns the size of a majority: any two sets of this size overlap.
[[nodiscard]] constexpr std::size_t MajoritySize(std::size_t count) noexcept {
  return count / 2 + 1;
}

/// Records a status report. Ignores the report if the response to a later
/// request has already arrived, or if its term is lower than that of the last
/// report.
/// @param requested_at When the request was sent, by this host's clock.
void RecordReport(group_state& group, instance_index instance,
                  const instance_report& report, time_point requested_at,
                  time_point now);

/// Records that an instance did not respond.
void RecordFailure(group_state& group, instance_index instance,
                   contact_result outcome);

/// Returns the highest term that any instance reported.
[[nodiscard]] term_number CurrentTerm(const group_state& group) noexcept;

/// Returns the instance that reported itself primary of the current term.
[[nodiscard]] std::optional<instance_index> FindPrimary(
    const group_state& group) noexcept;

/// Returns the time until which this host may acknowledge writes of a term.
///
/// A promoter raises the term on a majority of instances and then waits for
/// `lease_duration` before it promotes one. Any majority of reports overlaps
/// with the promoter's majority. While the requests behind a majority of
/// reports are younger than `lease_duration`, no successor has been promoted.
/// @return `time_point::min()` if no majority reported the term.
[[nodiscard]] time_point PrimaryLeaseExpiry(const group_state& group,
                                            term_number term,
                                            duration lease_duration);

/// Returns the highest position of a term that a majority of instances has
/// received.
/// @return Zero if no majority reported entries of the term.
[[nodiscard]] log_position DurablePosition(const group_state& group,
                                           term_number term);

/// Returns the starts of all known terms, as reported by the instance with the
/// most advanced log.
[[nodiscard]] term_history KnownHistory(const group_state& group);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_GROUP_STATE_H_
