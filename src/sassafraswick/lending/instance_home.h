#ifndef SASSAFRASWICK_LENDING_INSTANCE_HOME_H_
#define SASSAFRASWICK_LENDING_INSTANCE_HOME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Chooses the home host of each instance: the host that holds the connections
/// to it and lends them to the others.

namespace sassafraswick {

/// A host that can lend connections.
struct home_candidate {
  std::string host;
  std::string availability_zone;
  /// Processor capacity in cores.
  double capacity = 0.0;

  bool operator==(const home_candidate&) const = default;
};

/// Largest processor capacity of a host that is believed, in cores.
inline constexpr double kMaxHostCapacity = 1024.0;

/// Returns whether a host of this capacity can be a home: it is a positive
/// number of cores that a host may have.
[[nodiscard]] bool IsUsableCapacity(double capacity) noexcept;

/// Returns whether hosts share the connections to an instance: it accepts too
/// few for every host to keep one of its own.
/// @param connections Connections that the instance accepts.
/// @param hosts Hosts of the fleet.
[[nodiscard]] constexpr bool SharesConnections(std::uint32_t connections,
                                               std::uint32_t hosts) noexcept {
  return connections < hosts;
}

/// Ranks the hosts that may be the home of an instance, best first. All hosts
/// that know the same candidates compute the same ranking. Hosts in the
/// instance's availability zone come first, so that a lent statement crosses
/// no more zones than a direct one; among equals a host is chosen in proportion
/// to its capacity. Hosts without a usable capacity are left out.
/// @param count Number of hosts to return.
[[nodiscard]] std::vector<std::string> RankHomes(
    std::string_view instance, std::string_view availability_zone,
    const std::vector<home_candidate>& candidates, std::size_t count);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_INSTANCE_HOME_H_
