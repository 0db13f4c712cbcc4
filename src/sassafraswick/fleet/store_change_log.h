#ifndef SASSAFRASWICK_FLEET_STORE_CHANGE_LOG_H_
#define SASSAFRASWICK_FLEET_STORE_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/shared_store.h"

/// @file
/// How changes in the store reach a large fleet: a few hosts follow the store
/// and keep the newest change of each key; the others ask one of them.

namespace sassafraswick {

/// Changes of followed keys, the newest of each.
class store_change_log {
 public:
  /// Begins anew: everything up to this revision was read at once.
  void Reset(std::int64_t revision);

  /// Adds a change.
  void Add(const store_item& item);

  /// Changes after a revision.
  /// @return Nothing if the log does not reach back that far.
  [[nodiscard]] std::optional<std::vector<store_item>> ChangesSince(
      std::int64_t revision) const;

 private:
  std::map<std::string, store_item> changes_;
  /// Revision since which the log is whole.
  std::int64_t complete_since_ = 0;
  bool initialized_ = false;
};

/// Fleet from which on a few hosts follow the store for all. Below, what all
/// hosts ask costs less than what they would tell each other.
inline constexpr std::size_t kRelayMinHosts = 16;
/// Hosts of a large fleet that follow the store: any three may be lost.
inline constexpr std::size_t kRelayHostCount = 4;
/// Time between two questions to a host that follows the store.
inline constexpr duration kChangePollInterval = std::chrono::milliseconds(500);
/// Wait of a follower's watch. It bounds the age of what it tells.
inline constexpr duration kRelayHostWatchTimeout =
    std::chrono::milliseconds(2500);
/// Age of a host's knowledge beyond which another one is asked.
inline constexpr duration kRelayMaxAge = std::chrono::milliseconds(3500);
/// Age of the own knowledge beyond which a host follows the store itself. The
/// users give a large fleet 5 s for a configuration.
inline constexpr duration kLocalMaxAge = std::chrono::milliseconds(4000);

/// Tells whether a host follows the store for others, or is one of few.
/// @param ranked Hubs in the order for following the store.
[[nodiscard]] bool IsAmongRelayHosts(const std::vector<std::string>& ranked,
                                     const std::string& host,
                                     std::size_t fleet);

/// Followers in the order in which a host asks them; spreads the hosts.
[[nodiscard]] std::vector<std::string> RelayHostsFor(
    const std::vector<std::string>& ranked, const std::string& host);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_STORE_CHANGE_LOG_H_
