#ifndef SASSAFRASWICK_GATEWAY_WATCHED_PREFIX_H_
#define SASSAFRASWICK_GATEWAY_WATCHED_PREFIX_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// A watched prefix of the store, and the interface between a store watcher and
/// its host.

namespace sassafraswick {

/// Pause for each host of the fleet, up to `kMaxChangePause`, after changes of
/// targets or hosts were received. Every change costs each watching host a
/// call, and some ten changes arrive together when a fleet starts. The pause is
/// safe for instances that leave, since they keep serving for 7 s or more.
inline constexpr duration kChangePausePerHost = std::chrono::milliseconds(8);
inline constexpr duration kMaxChangePause = std::chrono::milliseconds(200);

/// Time within which all hosts of a starting fleet have registered; the
/// deployment's hosts start within 300 ms of each other. A host that reads the
/// host list earlier mistakes the fleet for a small one.
inline constexpr duration kFleetRegistrationTime =
    std::chrono::milliseconds(700);

/// Interface through which a store watcher uses its host.
struct store_watcher_environment {
  std::string host;
  /// Sorted names of all hosts, including this one.
  std::function<const std::vector<std::string>&()> hosts;
  /// Processor capacities of `hosts`.
  std::function<const std::vector<double>&()> cores;
  std::function<void(const std::string& host, message::envelope envelope)> send;
  std::function<void(const std::string& route, message::envelope envelope)>
      respond;
  /// Returns the newest known era of the store.
  std::function<store_era()> era;
  /// Passed to the clients of the store.
  store_era_observer observe_era;
  /// Delay before the first read.
  duration first_delay = duration::zero();
};

/// A watched key or prefix.
struct watched_prefix {
  std::string prefix;
  /// Applies the result of a complete read; entries that it lacks no longer
  /// exist.
  std::function<void(const store_page&)> apply_snapshot;
  /// Applies changes only.
  std::function<void(const store_page&)> apply_changes;
  /// Relay hosts forward changes of this prefix. A prefix that is not relayed
  /// is read again when a peer announces a newer version.
  bool relayed = true;
  /// Revision up to which all changes were applied; unknown before the first
  /// read.
  store_revision revision;
  /// Last time at which the store was known to have nothing newer.
  time_point confirmed_at;
  bool needs_read = false;
  /// The next read must not return stale data.
  bool needs_latest = false;
  /// When the newest complete read that cannot be stale was sent.
  time_point latest_read_at;
  /// When the last read with `kMaybeStale` was sent.
  time_point stale_read_at;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_WATCHED_PREFIX_H_
