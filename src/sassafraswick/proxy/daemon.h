#ifndef SASSAFRASWICK_PROXY_DAEMON_H_
#define SASSAFRASWICK_PROXY_DAEMON_H_

#include "sassafraswick/config/settings.h"
#include "sassafraswick/core/error.h"

/// @file
/// Entry point of the proxy daemon.

namespace sassafraswick {

/// Runs the daemon until SIGTERM or SIGINT, then drains its sessions.
/// @return An error if the daemon could not start; success after it stopped.
[[nodiscard]] result<void> RunDaemon(const daemon_settings& settings);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_DAEMON_H_
