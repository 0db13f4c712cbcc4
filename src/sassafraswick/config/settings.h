#ifndef SASSAFRASWICK_CONFIG_SETTINGS_H_
#define SASSAFRASWICK_CONFIG_SETTINGS_H_

#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/limits/caller_limits.h"

/// @file
/// Settings of the daemon and of the operators' tool, read once at startup.

namespace sassafraswick {

/// Addresses of the platform's services.
struct platform_settings {
  /// Key-value store with etcd v3's JSON API.
  endpoint store;
  /// Host list, served as JSON over HTTP.
  endpoint host_list;
};

/// Settings of `sassafraswickd`.
struct daemon_settings {
  std::string host;
  std::string availability_zone;
  /// Listening address for callers.
  endpoint callers;
  /// Listening address for other hosts and `sassafraswickctl`.
  endpoint peers;
  platform_settings platform;
  /// Shared by all hosts; signs tokens and messages between hosts.
  std::string fleet_secret;
  /// PEM files; TLS is offered to callers when both are set.
  std::string tls_certificate;
  std::string tls_key;
  process_limits limits;
  log_level level = log_level::kInfo;
};

/// Settings of `sassafraswickctl`.
struct control_settings {
  platform_settings platform;
  std::string fleet_secret;
};

/// Reads and validates a daemon's settings file.
/// @return The settings, or an error that names the file, the key and the
/// reason.
[[nodiscard]] result<daemon_settings> LoadDaemonSettings(
    const std::string& path);

/// Reads and validates the settings file of the operators' tool.
[[nodiscard]] result<control_settings> LoadControlSettings(
    const std::string& path);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_SETTINGS_H_
