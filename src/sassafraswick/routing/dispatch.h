#ifndef SASSAFRASWICK_ROUTING_DISPATCH_H_
#define SASSAFRASWICK_ROUTING_DISPATCH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/consistency/freshness.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"
#include "sassafraswick/limits/fair_scheduler.h"

/// @file
/// Assignment of waiting requests of one pool to connections to its instances.

namespace sassafraswick {

/// Identifies a request within its host.
using request_id = std::uint64_t;

enum class access_kind : std::uint8_t { kRead, kWrite };

/// A request that waits for a connection.
struct request_entry {
  request_id id = 0;
  std::string organisation;
  /// Weight of the organisation in fair queueing, at least 1.
  std::uint32_t weight = 1;
  access_kind access = access_kind::kWrite;
  /// Urgency of the route; 0 is the most urgent.
  std::uint32_t priority = 1;
  read_requirement requirement;
  time_point arrived;
  /// Time by which the request must have been sent to a target.
  time_point deadline;
  /// A replica rejected the statement because it writes.
  bool needs_primary = false;
};

/// Connections of this host to one instance.
struct connection_counts {
  std::uint32_t idle = 0;
  /// Running a request or held by a transaction.
  std::uint32_t busy = 0;
  std::uint32_t opening = 0;
  /// Maximum number of connections that this host may hold.
  std::uint32_t budget = 0;
  /// Number of waiting requests after the last dispatch that the instance could
  /// have served.
  std::uint32_t unmet_demand = 0;
  /// Maximum number of connections that were needed recently, and when.
  std::uint32_t peak_use = 0;
  time_point peak_use_at;
  /// Earliest time of the next attempt to connect.
  time_point retry_at;
};

struct dispatch_settings {
  duration primary_lease_duration = std::chrono::milliseconds(300);
  /// Time for which a read waits for a replica to catch up before it uses the
  /// primary.
  duration freshness_wait = std::chrono::milliseconds(0);
  /// Maximum number of waiting requests of one organisation.
  std::size_t queue_limit = 2000;
  std::string availability_zone;
};

enum class refusal_reason : std::uint8_t {
  /// The queue is full, or too long to start the request before its deadline.
  kOverloaded,
  /// The deadline passed before an instance was available.
  kNoInstance,
  /// A promotion discarded the log position that the read requires.
  kHistoryLost,
};

/// A request to be sent over an idle connection.
struct assignment {
  request_id request = 0;
  instance_index instance = 0;
};

/// A request that will not be run.
struct refusal {
  request_id request = 0;
  refusal_reason reason = refusal_reason::kNoInstance;
  /// Time after which a retry may succeed.
  duration retry_after = duration::zero();
};

/// Result of a dispatch.
struct dispatch_plan {
  std::vector<assignment> assignments;
  std::vector<refusal> refusals;
  /// Instances to connect to, with one entry for each connection.
  std::vector<instance_index> connects;
};

/// Dispatch state of one pool.
struct dispatch_table {
  /// Waiting requests by organisation, oldest first.
  std::map<std::string, std::deque<request_entry>> waiting;
  std::size_t waiting_count = 0;
  std::vector<connection_counts> connections;
  fair_scheduler scheduler;
  /// Smoothed time for which a request occupies a connection.
  duration service_time = std::chrono::milliseconds(1);
};

/// Adds a request to the queue, or refuses it at once if the queue is full or
/// the request is not expected to start before its deadline.
[[nodiscard]] std::optional<refusal> Enqueue(dispatch_table& table,
                                             const dispatch_settings& settings,
                                             request_entry request,
                                             time_point now);

/// Assigns waiting requests to idle connections: the most urgent first, and
/// among equals in a fair order of their organisations.
///
/// Updates the counts in `table.connections` as planned: assigned connections
/// become busy, and planned ones count as opening.
[[nodiscard]] dispatch_plan Dispatch(dispatch_table& table,
                                     const group_state& group,
                                     const dispatch_settings& settings,
                                     time_point now);

/// Removes a request whose caller has disconnected.
/// @return False if the request was not waiting.
bool CancelRequest(dispatch_table& table, const std::string& organisation,
                   request_id id);

/// Returns the number of connections to an instance to hold: the maximum that
/// was needed within the last seconds, so that connections survive a short
/// pause.
[[nodiscard]] std::uint32_t WantedConnections(connection_counts& counts,
                                              time_point now);

/// Updates the smoothed service time with the time of one request.
void RecordServiceTime(dispatch_table& table, duration busy);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_DISPATCH_H_
