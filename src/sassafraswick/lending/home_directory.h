#ifndef SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_
#define SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/lending/instance_home.h"

/// @file
/// The home hosts of all instances, as this host knows them.

namespace sassafraswick {

/// Number of hosts that are asked for a connection to an instance: its home,
/// and the one that follows if that one fails.
inline constexpr std::size_t kHomesPerInstance = 2;

/// Ranks homes. Caches the rankings until the candidates change.
class home_directory {
 public:
  /// Sets the hosts that can lend connections, in any order.
  void SetCandidates(std::vector<home_candidate> candidates);

  /// Returns the homes of an instance, best first; at most
  /// `kHomesPerInstance`, and none if no host can lend. The reference is valid
  /// until the candidates change.
  [[nodiscard]] const std::vector<std::string>& HomesOf(
      const std::string& instance, const std::string& availability_zone);

 private:
  std::vector<home_candidate> candidates_;
  /// Rankings by instance and its availability zone.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      rankings_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_HOME_DIRECTORY_H_
