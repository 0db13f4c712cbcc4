#ifndef SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
#define SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "sassafraswick/core/simple_token_bucket.h"
#include "sassafraswick/core/time.h"

/// @file
/// One host's part of an instance's connections, where the instance itself
/// turns away what is too much.

namespace sassafraswick {

/// Connections of one host to one instance.
struct connection_share {
  /// Most that the host opens.
  std::uint32_t most = 1;
  /// Most that it keeps while they rest.
  std::uint32_t kept = 1;
};

/// Connections of each instance that are left for questions of hosts whose own
/// are all in use.
inline constexpr std::uint32_t kReservedConnections = 2;

/// A host may always open two: one that a transaction holds, and another.
inline constexpr std::uint32_t kLeastOpen = 2;

/// Shares an instance's connections.
///
/// All hosts together open no more than the instance takes, but for rounding.
/// At rest the fleet keeps half: connections of hosts that lost power count for
/// seconds after, and the same hosts need as many again at once.
[[nodiscard]] constexpr connection_share ShareConnections(
    std::uint32_t connections, std::uint32_t hosts) noexcept {
  const std::uint32_t sharing = std::max<std::uint32_t>(hosts, 1);
  const std::uint32_t usable =
      connections - std::min(connections, kReservedConnections);
  connection_share share;
  share.kept = connections / 2 / sharing;
  share.most = std::max((usable + sharing / 2) / sharing, kLeastOpen);
  return share;
}

/// Slot time of opening a connection; the users' sheets.
inline constexpr duration kHandshakeTime = std::chrono::milliseconds(12);
/// Part of an instance's slots that the fleet may spend on handshakes. Beyond
/// it, an overloaded instance would do little else.
inline constexpr double kHandshakePart = 0.5;
/// Connections that a host may open at once after a rest.
inline constexpr double kOpenBurst = 8.0;

/// Paces one host's openings of connections to one instance.
struct open_pace {
  simple_token_bucket openings{kOpenBurst};
};

/// Takes leave to open a connection.
/// @param slots Statements that the instance runs at a time.
/// @return False if the host has opened too many lately.
[[nodiscard]] inline bool TryOpen(open_pace& paced, std::uint32_t slots,
                                  std::uint32_t hosts, time_point now) {
  const double handshake =
      std::chrono::duration<double>(kHandshakeTime).count();
  const double rate =
      kHandshakePart * slots / handshake / std::max<std::uint32_t>(hosts, 1);
  return TryTakeToken(paced.openings, rate, kOpenBurst, now);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
