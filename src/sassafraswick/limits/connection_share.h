#ifndef SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
#define SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_

#include <algorithm>
#include <cstdint>

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
  share.kept = std::max<std::uint32_t>(connections / 2 / sharing, 1);
  share.most = std::max((usable + sharing / 2) / sharing, share.kept);
  return share;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
