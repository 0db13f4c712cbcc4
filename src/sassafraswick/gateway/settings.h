#ifndef SASSAFRASWICK_GATEWAY_SETTINGS_H_
#define SASSAFRASWICK_GATEWAY_SETTINGS_H_

#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/caller_limits.h"

/// @file
/// Settings of a gateway process that do not depend on the platform.

namespace sassafraswick {

/// Leaves an instance in service for as long as it runs.
inline constexpr duration kDefaultLeaveWithin = std::chrono::hours(24);

struct gateway_settings {
  std::string host;
  std::string availability_zone;
  /// Set when all hosts of a new fleet are started at once for the first time.
  bool fleet_starts = false;
  /// Listen address for callers.
  endpoint callers;
  /// Listen address for other hosts.
  endpoint peers;
  /// Bandwidth of the host's network link, in Mbit/s.
  double link_mbps = 1000.0;
  /// Processor capacity of the host, in cores.
  double capacity = 1.0;
  /// Hosts share the connections to instances that accept too few.
  bool shares_connections = false;
  /// Time between SIGTERM and SIGKILL.
  duration stop_grace = std::chrono::seconds(6);
  /// Time after which an instance that announced its stop gets no more
  /// requests, even if no other can run them.
  duration leave_within = kDefaultLeaveWithin;
  process_limits limits;
  log_level level = log_level::kInfo;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_SETTINGS_H_
