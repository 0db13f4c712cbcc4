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
/// What a host follows in the store, and what following needs of the host.

namespace sassafraswick {

/// Longest wait of one watch in a small fleet; the store's limit is 30 s.
inline constexpr duration kMaxWatchWait = std::chrono::seconds(20);
/// Pause a host of the fleet after changes of targets or hosts were taken, and
/// its limit: each change costs every watching host a call, and some ten come
/// together when a fleet starts. Instances that leave serve on for 7 s and
/// more.
inline constexpr duration kChangePausePerHost = std::chrono::milliseconds(8);
inline constexpr duration kMaxChangePause = std::chrono::milliseconds(200);

/// Time in which the hosts of a fleet that starts have registered; the users'
/// start within 300 ms of each other. Whoever reads the hosts earlier takes the
/// fleet for small.
inline constexpr duration kFleetRegistrationTime =
    std::chrono::milliseconds(700);

/// What the news of the store need of their host.
struct store_watcher_environment {
  std::string host;
  /// Names of all hosts, this one included, in order.
  std::function<const std::vector<std::string>&()> hosts;
  std::function<void(const std::string& host, message::envelope envelope)> send;
  std::function<void(const std::string& route, message::envelope envelope)>
      answer;
  /// Time before the first reading.
  duration first_delay = duration::zero();
};

/// One followed key or prefix.
struct watched_prefix {
  std::string prefix;
  /// Takes over all entries; those that are missing are gone.
  std::function<void(const store_page&)> apply_snapshot;
  /// Takes over changes.
  std::function<void(const store_page&)> apply_changes;
  /// Changes of it are relayed. Otherwise it is read anew when a peer names a
  /// newer version.
  bool relayed = true;
  /// Revision up to which everything was taken over; 0 before the first
  /// reading.
  std::int64_t revision = 0;
  /// When the store last confirmed that there was nothing newer.
  time_point confirmed_at;
  bool needs_read = false;
  /// When a reading that may be old was last made.
  time_point stale_read_at;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_WATCHED_PREFIX_H_
