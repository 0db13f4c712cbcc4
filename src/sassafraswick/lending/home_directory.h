#ifndef SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_
#define SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/lending/home_assignment.h"
#include "sassafraswick/lending/instance_home.h"

/// @file
/// The home hosts of all instances, as this host knows them.

namespace sassafraswick {

/// Number of hosts that are asked for a connection to an instance: its home,
/// and the one that follows if that one fails.
inline constexpr std::size_t kHomesPerInstance = 2;

/// Ranks homes. Caches the rankings until the candidates or instances change.
class home_directory {
 public:
  /// Sets the hosts that can lend connections, in any order.
  void SetCandidates(std::vector<home_candidate> candidates);

  /// Sets the instances of the fleet, in any order. Homes are balanced over
  /// them; those of other instances are ranked alone.
  void SetInstances(std::vector<instance_location> instances);

  /// Returns the homes of an instance, best first; at most
  /// `kHomesPerInstance`, and none if no host can lend. The reference is valid
  /// until the candidates or instances change.
  [[nodiscard]] const std::vector<std::string>& HomesOf(
      const std::string& instance, const std::string& availability_zone);

 private:
  /// Discards what was computed.
  void Reset();
  /// Puts the home that `AssignHomes` chose first.
  void PutAssignedFirst(const std::string& instance,
                        std::vector<std::string>& homes);

  std::vector<home_candidate> candidates_;
  std::vector<instance_location> instances_;
  /// Balanced homes by instance, once one was asked for.
  std::optional<std::map<std::string, std::string>> assigned_;
  /// Rankings by instance and its availability zone.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      rankings_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_
