#ifndef SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
#define SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "sassafraswick/core/simple_token_bucket.h"
#include "sassafraswick/core/time.h"

/// @file
/// Static limit on the connections of one host to one instance, for instances
/// that reject excess connections themselves.

namespace sassafraswick {

/// Limits on the connections of one host to one instance.
struct connection_share {
  /// Maximum number of open connections.
  std::uint32_t max_open = 1;
  /// Maximum number of connections kept open while they are idle.
  std::uint32_t max_idle = 1;
};

/// Connections of each instance reserved for status requests of hosts whose own
/// connections are all in use.
inline constexpr std::uint32_t kReservedStatusConnections = 2;

/// Lower bound of `max_open`, so that a transaction that holds a connection
/// does not block all other requests of the host.
inline constexpr std::uint32_t kMinOpenConnections = 2;

/// Divides an instance's connections equally among hosts.
///
/// Except for rounding and `kMinOpenConnections`, all hosts together open no
/// more than the instance accepts. Idle connections take at most half of that:
/// an instance continues to count the connections of hosts that lost power for
/// some seconds, and the restarted hosts need as many again at once.
[[nodiscard]] constexpr connection_share ShareConnections(
    std::uint32_t connections, std::uint32_t hosts) noexcept {
  const std::uint32_t host_count = std::max<std::uint32_t>(hosts, 1);
  const std::uint32_t usable =
      connections - std::min(connections, kReservedStatusConnections);
  connection_share share;
  share.max_idle = connections / 2 / host_count;
  share.max_open =
      std::max((usable + host_count / 2) / host_count, kMinOpenConnections);
  return share;
}

/// Connections that the home of an instance opens. A quarter remains for hosts
/// that reach no home, or that believe to be the home as well.
[[nodiscard]] constexpr connection_share ShareOfHome(
    std::uint32_t connections) noexcept {
  const std::uint32_t reserve = connections / 4 + kReservedStatusConnections;
  connection_share share;
  share.max_open = std::max(connections - std::min(connections, reserve),
                            kMinOpenConnections);
  share.max_idle = share.max_open;
  return share;
}

/// Time for which opening a connection occupies a slot of the instance, from
/// the deployment's requirements.
inline constexpr duration kHandshakeSlotTime = std::chrono::milliseconds(12);
/// Fraction of an instance's slots that the fleet may spend on handshakes. With
/// more, an overloaded instance would do little else.
inline constexpr double kHandshakeSlotFraction = 0.5;
/// Connections that a host may open in a burst after an idle period.
inline constexpr double kConnectBurst = 8.0;

/// Limits the rate at which one host opens connections to one instance.
struct connect_rate_limiter {
  simple_token_bucket openings{kConnectBurst};
};

/// Tries to consume the permission to open one connection.
/// @param slots Statements that the instance runs concurrently.
/// @param hosts Hosts that share the instance.
/// @return False if the host has exceeded its rate.
[[nodiscard]] inline bool TryAcquireConnect(connect_rate_limiter& limiter,
                                            std::uint32_t slots,
                                            std::uint32_t hosts,
                                            time_point now) {
  const double handshake =
      std::chrono::duration<double>(kHandshakeSlotTime).count();
  const double rate = kHandshakeSlotFraction * slots / handshake /
                      std::max<std::uint32_t>(hosts, 1);
  return TryTakeToken(limiter.openings, rate, kConnectBurst, now);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
