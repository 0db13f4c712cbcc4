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

/// Shares an instance's connections.
///
/// At rest the fleet keeps half of them: connections of hosts that lost power
/// count for seconds after, and the same hosts need as many again at once. A
/// busy host may use up to half of all by itself, since hosts are rarely busy
/// at the same instance together.
[[nodiscard]] constexpr connection_share ShareConnections(
    std::uint32_t connections, std::uint32_t hosts) noexcept {
  const std::uint32_t half = connections / 2;
  const std::uint32_t sharing = std::max<std::uint32_t>(hosts, 1);
  connection_share share;
  share.kept = std::max<std::uint32_t>(half / sharing, 1);
  share.most = std::max(half, share.kept);
  return share;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CONNECTION_SHARE_H_
