#ifndef SASSAFRASWICK_FLEET_HUB_MONITOR_H_
#define SASSAFRASWICK_FLEET_HUB_MONITOR_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Failure detection of hubs. A failed hub stays registered until its lease
/// expires. Until then, this host bypasses it if it does not respond.

namespace sassafraswick {

/// Time without any message after a request, after which a hub counts as
/// unresponsive. A round trip takes a few milliseconds, about ten times that on
/// slowed hosts.
inline constexpr duration kHubResponseTimeout = std::chrono::milliseconds(250);
/// Interval of probes to an unresponsive hub.
inline constexpr duration kHubProbeInterval = std::chrono::milliseconds(1000);

class hub_monitor {
 public:
  /// Records that a message that expects a response is sent to a hub.
  void RecordQuery(const std::string& hub, time_point now);

  /// Records that any message of a hub was received.
  void RecordMessage(std::string_view hub);

  /// Returns whether a hub has not responded within `kHubResponseTimeout`.
  [[nodiscard]] bool IsUnresponsive(std::string_view hub, time_point now) const;

  /// Returns the unresponsive hubs that are due for a probe, and records the
  /// probes as sent.
  [[nodiscard]] std::vector<std::string> TakeDueProbes(time_point now);

  /// Returns the first hub that is not unresponsive; empty if there is none.
  [[nodiscard]] std::string FirstResponsive(
      const std::vector<std::string>& hubs, time_point now) const;

  /// Drops the state of all hosts that are not listed.
  /// @param sorted_hosts Hosts of the fleet in ascending order.
  void Retain(const std::vector<std::string>& sorted_hosts);

 private:
  /// A request without a response of the hub.
  struct pending_query {
    time_point since;
    time_point probed_at;
  };

  std::map<std::string, pending_query, std::less<>> pending_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_HUB_MONITOR_H_
