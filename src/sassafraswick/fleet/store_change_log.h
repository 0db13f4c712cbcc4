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
/// Relaying of store changes in a large fleet: a few relay hosts watch the
/// store and keep the newest change of each key; the other hosts poll one of
/// them.

namespace sassafraswick {

/// Newest change of each watched key, of one era of the store.
class store_change_log {
 public:
  /// Starts the log after a full read of a prefix at this revision.
  void Reset(const store_revision& revision);

  /// Adds a change. A change that is older than the known one is ignored.
  void Add(const store_item& item);

  /// Returns the changes after a revision.
  /// @return Nothing if the log does not reach back to the revision.
  [[nodiscard]] std::optional<std::vector<store_item>> ChangesSince(
      const store_revision& revision) const;

 private:
  std::map<std::string, store_item> changes_;
  /// Revision after which the log is complete.
  store_revision complete_since_;
  bool initialized_ = false;
};

/// Fleet size from which a few relay hosts watch the store for all. In a
/// smaller fleet, the requests of all hosts to the store cost less than
/// messages between hosts would.
inline constexpr std::size_t kRelayMinHosts = 16;
/// Number of relay hosts of a large fleet; any three of them may fail.
inline constexpr std::size_t kRelayHostCount = 4;
/// Interval at which a host polls a relay host.
inline constexpr duration kChangePollInterval = std::chrono::milliseconds(500);
/// Age of a relay host's data beyond which another relay host is polled.
inline constexpr duration kRelayMaxAge = std::chrono::milliseconds(3500);
/// Age of a host's own data beyond which the host watches the store itself. The
/// deployment's requirements allow a large fleet 5 s to apply a configuration.
inline constexpr duration kLocalMaxAge = std::chrono::milliseconds(4000);

/// Returns whether a host watches the store: it is a relay host, or the fleet
/// is too small to need relay hosts.
/// @param ranked Hubs, ranked for watching the store.
/// @param fleet Number of hosts.
[[nodiscard]] bool IsAmongRelayHosts(const std::vector<std::string>& ranked,
                                     const std::string& host,
                                     std::size_t fleet);

/// Returns the relay hosts in the order in which a host polls them. The order
/// differs between hosts, which spreads the load.
[[nodiscard]] std::vector<std::string> RelayHostsFor(
    const std::vector<std::string>& ranked, const std::string& host);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_STORE_CHANGE_LOG_H_
