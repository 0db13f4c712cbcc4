#ifndef SASSAFRASWICK_GATEWAY_SETTINGS_H_
#define SASSAFRASWICK_GATEWAY_SETTINGS_H_

#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"

/// @file
/// Settings of a gateway process that do not depend on the platform.

namespace sassafraswick {

struct gateway_settings {
  std::string host;
  std::string availability_zone;
  /// The whole fleet starts for the first time, all hosts at once.
  bool fleet_starts = false;
  /// Where callers connect.
  endpoint callers;
  /// Where other hosts connect.
  endpoint peers;
  /// Rate of the host's own link, megabits a second.
  double link_mbps = 1000.0;
  /// Time between SIGTERM and SIGKILL.
  duration stop_grace = std::chrono::seconds(6);
  log_level level = log_level::kInfo;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_SETTINGS_H_
