#ifndef SASSAFRASWICK_CONFIG_SETTINGS_H_
#define SASSAFRASWICK_CONFIG_SETTINGS_H_

#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"

/// @file
/// Settings of one daemon, read once at start.

namespace sassafraswick {

/// Where the platform's services are.
struct platform_settings {
  /// Key-value service, etcd v3's JSON API.
  endpoint store;
  /// Host list, JSON over HTTP.
  endpoint host_list;
};

/// Settings of `sassafraswickd`.
struct daemon_settings {
  std::string host;
  std::string availability_zone;
  /// Where callers connect.
  endpoint callers;
  /// Where other hosts and `sassafraswickctl` connect.
  endpoint peers;
  platform_settings platform;
  /// Shared by the fleet; signs tokens and messages between hosts.
  std::string fleet_secret;
  /// PEM files; TLS is offered to callers when both are set.
  std::string tls_certificate;
  std::string tls_key;
  log_level level = log_level::kInfo;
};

/// Settings of `sassafraswickctl`.
struct control_settings {
  platform_settings platform;
  std::string fleet_secret;
};

/// Reads and checks a daemon's settings file.
/// @return The settings, or an error that names file, key and reason.
[[nodiscard]] result<daemon_settings> LoadDaemonSettings(
    const std::string& path);

/// Reads and checks the operators' tool's settings file.
[[nodiscard]] result<control_settings> LoadControlSettings(
    const std::string& path);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_SETTINGS_H_
