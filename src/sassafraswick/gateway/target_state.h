#ifndef SASSAFRASWICK_GATEWAY_TARGET_STATE_H_
#define SASSAFRASWICK_GATEWAY_TARGET_STATE_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/consistency/commit_proof.h"
#include "sassafraswick/consistency/replica_progress.h"
#include "sassafraswick/failover/replacement_state.h"
#include "sassafraswick/fleet/zone_evacuation.h"
#include "sassafraswick/gateway/connection_line.h"
#include "sassafraswick/gateway/instance_gate.h"
#include "sassafraswick/gateway/pooled_connection.h"
#include "sassafraswick/limits/connection_share.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/routing/instance_score.h"

/// @file
/// One host's state of a database instance: its registered record, the
/// connections to it and its health. Also holds the timeouts and delays for
/// connections and status requests.

namespace sassafraswick {

/// Timeout for connecting, and again for the protocol handshake, which takes 14
/// ms when the instance has a free slot.
inline constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
/// Timeout for control statements that this host sends to an instance itself.
inline constexpr duration kControlTimeout = std::chrono::milliseconds(400);
/// Delay before a proof of leadership is requested again after a failure.
inline constexpr duration kProofRetryDelay = std::chrono::milliseconds(30);
/// Longest wait for another host's proof before the instances are queried.
/// Hosts poll their peer connections at least every 50 ms.
inline constexpr duration kMaxCollectorWait = std::chrono::milliseconds(80);
/// Number of rounds in which only the proof collector is queried for the
/// primary or for a proof. Together they take longer than it does to find that
/// a collector is unresponsive and to turn to the next. If all hosts of a large
/// fleet queried an instance at once, they would exceed its connection limit.
inline constexpr int kCollectorOnlyRounds = 4;
/// Maximum age of a proof that the proof collector passes on.
inline constexpr duration kMaxSharedProofAge = std::chrono::milliseconds(120);
/// Time for which an instance is avoided after a failure.
inline constexpr duration kFailureBackoff = std::chrono::milliseconds(250);
/// Time for which the state of an instance is kept after it is no longer
/// listed. Until then a promotion has to take its log into account.
inline constexpr duration kUnlistedRetention = std::chrono::seconds(10);
/// Idle time after which a host closes its last connection to an instance that
/// accepts too few connections for every host to keep one.
inline constexpr duration kScarceIdleTimeout = std::chrono::milliseconds(300);
/// Time before the end of a leaving instance's service at which it gets no more
/// requests. Covers the way of the news that it leaves, and requests that wait
/// for a connection to it.
inline constexpr duration kLeaveMargin = std::chrono::milliseconds(2000);
/// Time for which no connection is opened to an instance that rejected one
/// because it is at its connection limit.
inline constexpr duration kCapacityBackoff = std::chrono::milliseconds(120);

/// Time for which a host keeps connections open after a request that it served
/// as a home of the instance. The best ranked home keeps them longer.
inline constexpr duration kHomeRetention = std::chrono::seconds(2);

/// A database instance and this host's connections to it.
template <session_codec Codec>
struct target_state {
  explicit target_state(const boost::asio::any_io_executor& executor)
      : gate(std::make_shared<instance_gate>(executor)),
        connection_released(executor),
        line(executor) {}

  target_record record;
  bool listed = true;
  /// When this host learned that the instance's zone is evacuated.
  std::optional<time_point> evacuated_since;
  /// When this host learned that the instance leaves or is no longer listed.
  std::optional<time_point> leaving_since;
  /// When the instance has warmed up after its start.
  time_point warm_at;
  time_point unlisted_at;
  std::vector<std::shared_ptr<pooled_connection<Codec>>> idle;
  std::uint32_t busy = 0;
  std::uint32_t opening = 0;
  /// Connections borrowed from the instance's home.
  std::uint32_t borrowed = 0;
  /// Until when this host keeps connections open as a home of the instance.
  time_point lends_until;
  /// Admits statements that this host sends as a home of the instance.
  std::shared_ptr<instance_gate> gate;
  connect_rate_limiter connect_limiter;
  async_event connection_released;
  /// Operations that wait for a connection.
  connection_line line;
  time_point avoid_until;
  /// No connection is opened before this time, because the instance rejected
  /// one.
  time_point at_capacity_until;
  /// Replication progress as of the last response.
  replica_progress progress;
  duration latency = duration::zero();
  instance_score score;
  /// Slots that statements occupy which only this instance can run.
  slot_usage reserved;
  /// When the instance's last response arrived, on any connection.
  time_point answered_at;
  instance_health health;
  process_contact contact;

  /// Sequence number of the instance's latest claim to be the primary; a later
  /// claim has a higher one.
  std::uint64_t claim_order = 0;

  /// Begins to track the process that runs the instance from now on.
  void BeginProcess(const std::string& id, time_point now) {
    const term_number highest_term = std::max(
        health.highest_term,
        health.status.has_value() ? health.status->term : term_number(0));
    const bool listed_before = health.listed;
    health = instance_health();
    health.id = id;
    health.seen_since = now;
    health.listed = listed_before;
    health.highest_term = highest_term;
    progress = replica_progress();
    contact = process_contact();
    answered_at = time_point();
    idle.clear();
  }

  /// Returns whether an entry of this instance is that of another process.
  [[nodiscard]] bool IsOtherProcess(const target_record& entry) const {
    return record.start_id != 0 && entry.start_id != 0 &&
           record.start_id != entry.start_id;
  }

  [[nodiscard]] bool IsUsable() const {
    return listed && !record.leaving && !evacuated_since.has_value();
  }

  /// Returns whether nothing may be sent to the instance any more, because its
  /// zone is evacuated and its successor had time to take over.
  [[nodiscard]] bool IsEvacuated(time_point now) const {
    return evacuated_since.has_value() &&
           now - *evacuated_since >= kEvacuationHandover;
  }

  /// Returns whether nothing may be sent to the instance any more, because it
  /// has been leaving for too long.
  /// @param leave_within Time after which a leaving instance gets no requests.
  [[nodiscard]] bool HasOverstayed(duration leave_within,
                                   time_point now) const {
    const duration limit =
        std::max(leave_within - kLeaveMargin, leave_within / 2);
    return leaving_since.has_value() && now - *leaving_since >= limit;
  }

  /// Returns whether the instance warms up after its start, so that it serves
  /// reads only if no other can.
  [[nodiscard]] bool IsCold(time_point now) const { return now < warm_at; }

  /// Returns whether a status request or a connection attempt showed that the
  /// instance is unresponsive, and it has answered nothing since the given
  /// time.
  [[nodiscard]] bool IsUnresponsiveSince(time_point since) const {
    return health.silent_since.has_value() && answered_at < since;
  }

  /// Returns whether the instance is unresponsive and must not be sent another
  /// request. After a backoff, one request at a time probes it.
  [[nodiscard]] bool IsSuspect(time_point now) const {
    return health.silent_since.has_value() &&
           (now < avoid_until || busy + opening + borrowed > 0);
  }
};

/// A connection that is leased to one operation, or the reason why there is
/// none.
template <session_codec Codec>
struct pooled_connection_lease {
  std::shared_ptr<target_state<Codec>> target;
  std::shared_ptr<pooled_connection<Codec>> connection;
  /// Why there is no connection.
  failure_code failure = failure_code::kNone;
  /// The instance's home rejected the request, since it cannot be served in
  /// time.
  bool rejected = false;
  /// Time spent waiting for the connection or the failure.
  duration waited = duration::zero();
  /// Without a connection: time after which one is expected to be free; zero if
  /// unknown.
  duration retry_after = duration::zero();
  /// When the connection was leased to an operation.
  std::optional<time_point> leased_at;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_STATE_H_
