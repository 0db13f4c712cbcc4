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

/// Timeout of a request to a hub: without any message of the hub for this long,
/// the hub counts as unresponsive. A round trip takes a few milliseconds, about
/// ten times that on slowed hosts.
inline constexpr duration kHubResponseTimeout = std::chrono::milliseconds(250);
/// Interval of probes to an unresponsive hub.
inline constexpr duration kHubProbeInterval = std::chrono::milliseconds(1000);

/// Tracks which hubs respond to this host's requests.
class hub_monitor {
 public:
  /// Records that a request is sent to a hub. Has no effect while an earlier
  /// one is pending.
  void RecordRequest(const std::string& hub, time_point now);

  /// Records that a message of a hub was received; any message counts as a
  /// response.
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
  /// The earliest request to which a hub has not responded.
  struct pending_request {
    time_point since;
    time_point probed_at;
  };

  std::map<std::string, pending_request, std::less<>> pending_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_HUB_MONITOR_H_
