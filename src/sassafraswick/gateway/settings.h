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
  /// Time between SIGTERM and SIGKILL.
  duration stop_grace = std::chrono::seconds(6);
  process_limits limits;
  log_level level = log_level::kInfo;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_SETTINGS_H_
