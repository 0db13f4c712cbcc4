#ifndef SASSAFRASWICK_PEER_FLEET_H_
#define SASSAFRASWICK_PEER_FLEET_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"

/// @file
/// Hosts of the fleet as known to one host.

namespace sassafraswick {

/// A host known from the platform's list or from its own messages.
struct fleet_member {
  std::string host;
  std::string availability_zone;
  endpoint peers;
  bool leaving = false;
  /// Newest start of the host that was heard of; zero if never heard.
  std::uint64_t boot = 0;
  /// Highest heartbeat number of that start.
  std::uint64_t heartbeat = 0;
  /// When the heartbeat number last rose, on this host's clock.
  time_point heard_at;
};

/// All known hosts by name.
struct fleet_table {
  std::map<std::string, fleet_member, std::less<>> members;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_FLEET_H_
