#ifndef SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_
#define SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Divides a countable resource, such as an instance's connections, among the
/// hosts of the fleet. A grantor issues leased grants that follow demand.

namespace sassafraswick {

/// Validity of a grant that is not renewed.
inline constexpr duration kCapacityLease = std::chrono::seconds(3);

/// A host's report and request for one resource.
struct capacity_need {
  /// Units that are in use or kept open.
  std::uint32_t held = 0;
  /// Units that the host could use now.
  std::uint32_t wanted = 0;
  /// Allowance in the last response that the host received.
  std::uint32_t allowed = 0;
};

/// The grantor's record of one host's units.
struct capacity_holder {
  std::uint32_t wanted = 0;
  /// Upper bound of the units that the host may hold, whichever responses it
  /// has received.
  std::uint32_t committed = 0;
  time_point valid_until;
};

/// Grants of one resource, by host.
struct capacity_table {
  std::map<std::string, capacity_holder> holders;
};

/// Connections of an instance reserved for promotions and administrative tools.
inline constexpr std::uint32_t kReservedControlConnections = 2;

/// Returns the number of connections of an instance that hosts may use for
/// callers: all except the reserve and one per host, over which the host
/// monitors the instance. At least 1.
[[nodiscard]] std::uint32_t GrantableConnections(std::uint32_t connections,
                                                 std::uint32_t hosts) noexcept;

/// Divides a total by max-min fairness: no share exceeds its demand, and no
/// share can grow except at the expense of a smaller or equal one.
[[nodiscard]] std::map<std::string, std::uint32_t> MaxMinFairShares(
    std::uint32_t total, const std::map<std::string, std::uint32_t>& demands);

/// Records a host's request and computes its allowance.
///
/// An allowance grows only into units that no other host can still hold, so the
/// sum never exceeds the total. It shrinks to the fair share at once.
/// @return Units that the host may hold.
[[nodiscard]] std::uint32_t GrantCapacity(capacity_table& table,
                                          std::uint32_t total,
                                          const std::string& host,
                                          const capacity_need& need,
                                          time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CAPACITY_GRANT_H_
