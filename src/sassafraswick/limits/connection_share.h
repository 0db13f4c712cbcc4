#ifndef SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
#define SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "sassafraswick/core/pace.h"
#include "sassafraswick/core/time.h"

/// @file
/// One host's part of an instance's connections, where the instance itself
/// turns away what is too much.

namespace sassafraswick {

/// Connections of one host to one instance.
struct connection_share {
  /// Most that the host opens.
  std::uint32_t max_open = 1;
  /// Most that it keeps while they rest.
  std::uint32_t max_idle = 1;
};

/// Connections of each instance that are left for questions of hosts whose own
/// are all in use.
inline constexpr std::uint32_t kReservedStatusConnections = 2;

/// A host may always open two: one that a transaction holds, and another.
inline constexpr std::uint32_t kMinOpenConnections = 2;

/// Shares an instance's connections.
///
/// All hosts together open no more than the instance takes, but for rounding.
/// At rest the fleet keeps half: connections of hosts that lost power count for
/// seconds after, and the same hosts need as many again at once.
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

/// Slot time of opening a connection; the users' sheets.
inline constexpr duration kHandshakeSlotTime = std::chrono::milliseconds(12);
/// Part of an instance's slots that the fleet may spend on handshakes. Beyond
/// it, an overloaded instance would do little else.
inline constexpr double kHandshakeSlotFraction = 0.5;
/// Connections that a host may open at once after a rest.
inline constexpr double kConnectBurst = 8.0;

/// Paces one host's openings of connections to one instance.
struct connect_rate_limiter {
  pace openings{kConnectBurst};
};

/// Takes leave to open a connection.
/// @param slots Statements that the instance runs at a time.
/// @return False if the host has opened too many lately.
[[nodiscard]] inline bool TryAcquireConnect(connect_rate_limiter& limiter,
                                            std::uint32_t slots,
                                            std::uint32_t hosts,
                                            time_point now) {
  const double handshake =
      std::chrono::duration<double>(kHandshakeSlotTime).count();
  const double rate = kHandshakeSlotFraction * slots / handshake /
                      std::max<std::uint32_t>(hosts, 1);
  return TryTake(limiter.openings, rate, kConnectBurst, now);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
