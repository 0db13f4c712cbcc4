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
/// Matches waiting requests of one pool with connections to its instances.

namespace sassafraswick {

/// Identifies a request within its host.
using request_id = std::uint64_t;

enum class access_kind : std::uint8_t { kRead, kWrite };

/// A request that waits for a connection.
struct request_entry {
  request_id id = 0;
  std::string organisation;
  /// Share of the organisation among others.
  std::uint32_t weight = 1;
  access_kind access = access_kind::kWrite;
  read_requirement requirement;
  time_point arrived;
  /// The request must have been started by then.
  time_point deadline;
  /// A replica answered that the statement writes.
  bool needs_primary = false;
};

/// Connections of this host to one instance.
struct connection_counts {
  std::uint32_t idle = 0;
  /// Running a request or held by a transaction.
  std::uint32_t busy = 0;
  std::uint32_t opening = 0;
  /// Most connections that this host may hold.
  std::uint32_t budget = 0;
  /// Waiting requests that this instance could have taken at the last dispatch.
  std::uint32_t unmet_demand = 0;
  /// Most connections that were of use lately, and when.
  std::uint32_t peak_use = 0;
  time_point peak_use_at;
  /// No new attempt to connect before this time.
  time_point retry_at;
};

struct dispatch_settings {
  duration permit_window = std::chrono::milliseconds(300);
  /// Time a read waits for a replica to catch up before it takes the primary.
  duration freshness_wait = std::chrono::milliseconds(0);
  /// Most requests of one organisation that may wait.
  std::size_t queue_limit = 2000;
  std::string availability_zone;
};

enum class refusal_reason : std::uint8_t {
  /// The queue could not have met the deadline.
  kOverloaded,
  /// The deadline passed before any instance could take the request.
  kNoInstance,
  /// The point asked for was discarded by a promotion.
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
  /// When the caller may try again with a chance of success.
  duration retry_after = duration::zero();
};

/// What to do after a dispatch.
struct dispatch_plan {
  std::vector<assignment> assignments;
  std::vector<refusal> refusals;
  /// Instances to open one more connection to, once per entry.
  std::vector<instance_index> connects;
};

/// Waiting requests and connections of one pool.
struct dispatch_table {
  /// Waiting requests by organisation, oldest first.
  std::map<std::string, std::deque<request_entry>> waiting;
  std::size_t waiting_count = 0;
  std::vector<connection_counts> connections;
  fair_scheduler scheduler;
  /// Smoothed time that a connection is busy with one request.
  duration service_time = std::chrono::milliseconds(1);
};

/// Adds a request, or refuses it at once if it could not start in time.
[[nodiscard]] std::optional<refusal> Enqueue(dispatch_table& table,
                                             const dispatch_settings& settings,
                                             request_entry request,
                                             time_point now);

/// Matches waiting requests with idle connections.
///
/// Counts in `table.connections` change as planned: assigned connections turn
/// busy, planned connects turn opening.
[[nodiscard]] dispatch_plan Dispatch(dispatch_table& table,
                                     const group_state& group,
                                     const dispatch_settings& settings,
                                     time_point now);

/// Removes a request whose caller has gone.
/// @return False if it was not waiting.
bool CancelRequest(dispatch_table& table, const std::string& organisation,
                   request_id id);

/// Connections to an instance that are worth holding: the most that were of use
/// within the last seconds, so that a pause does not cost new connections.
[[nodiscard]] std::uint32_t WantedConnections(connection_counts& counts,
                                              time_point now);

/// Feeds the time a connection was busy with one request.
void RecordServiceTime(dispatch_table& table, duration busy);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_DISPATCH_H_
