#ifndef SASSAFRASWICK_FLEET_HUB_MONITOR_H_
#define SASSAFRASWICK_FLEET_HUB_MONITOR_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Which hubs answer. A hub that died stays registered until its lease ends;
/// until then it is passed over by what this host saw itself.

namespace sassafraswick {

/// Time without any message after which a hub that was asked is passed over. A
/// round trip takes a few milliseconds, on slowed hosts some ten times that.
inline constexpr duration kHubResponseTimeout = std::chrono::milliseconds(250);
/// Time between two probes of a hub that is passed over.
inline constexpr duration kHubProbeInterval = std::chrono::milliseconds(1000);

class hub_monitor {
 public:
  /// Notes that a message that wants an answer goes to a hub.
  void RecordQuery(const std::string& hub, time_point now);

  /// Notes any message of a hub.
  void RecordMessage(std::string_view hub);

  /// Tells whether a hub is to be passed over.
  [[nodiscard]] bool IsUnresponsive(std::string_view hub, time_point now) const;

  /// Hubs that are due for a probe, which is noted as sent.
  [[nodiscard]] std::vector<std::string> TakeDueProbes(time_point now);

  /// The first that is not passed over; empty if there is none.
  [[nodiscard]] std::string FirstResponsive(
      const std::vector<std::string>& hubs, time_point now) const;

  /// Forgets hosts that are no longer in the fleet.
  void Retain(const std::vector<std::string>& sorted_hosts);

 private:
  /// A hub that owes an answer.
  struct pending_query {
    time_point since;
    time_point probed_at;
  };

  std::map<std::string, pending_query, std::less<>> pending_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_HUB_MONITOR_H_
