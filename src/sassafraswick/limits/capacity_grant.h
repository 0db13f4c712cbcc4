#ifndef SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_
#define SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Something countable, such as an instance's connections, shared over the
/// fleet by leased grants that follow demand.

namespace sassafraswick {

/// Time for which a grant stays valid without being renewed.
inline constexpr duration kCapacityLease = std::chrono::seconds(3);

/// What a host says of one resource.
struct capacity_need {
  /// Units in use or kept open.
  std::uint32_t held = 0;
  /// Units the host could use now.
  std::uint32_t wanted = 0;
  /// What the host believes it is allowed.
  std::uint32_t allowed = 0;
};

/// What a grantor knows of one host's units.
struct capacity_holder {
  std::uint32_t wanted = 0;
  /// Most units that the host can hold, whichever answers it has received.
  std::uint32_t committed = 0;
  time_point valid_until;
};

/// One resource at its grantor, by host.
struct capacity_table {
  std::map<std::string, capacity_holder> holders;
};

/// Connections of an instance kept back for promotions and tools.
inline constexpr std::uint32_t kReservedControlConnections = 2;

/// Connections of an instance that hosts may share for callers: all but the
/// reserve and one a host, which watches the instance.
[[nodiscard]] std::uint32_t GrantableConnections(std::uint32_t connections,
                                                 std::uint32_t hosts) noexcept;

/// Divides a total among wishes: nobody gets more than wished, and nobody could
/// get more without taking it from somebody who has less.
[[nodiscard]] std::map<std::string, std::uint32_t> MaxMinFairShares(
    std::uint32_t total, const std::map<std::string, std::uint32_t>& demands);

/// Serves a host's need.
///
/// A host grows only into units that no other host can still hold, so the sum
/// never passes the total; it shrinks at once to its fair share.
/// @return Units that the host may hold.
[[nodiscard]] std::uint32_t GrantCapacity(capacity_table& table,
                                          std::uint32_t total,
                                          const std::string& host,
                                          const capacity_need& need,
                                          time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_
