#ifndef SASSAFRASWICK_PROXY_DAEMON_H_
#define SASSAFRASWICK_PROXY_DAEMON_H_

#include "sassafraswick/config/settings.h"
#include "sassafraswick/core/error.h"

/// @file
/// A whole daemon.

namespace sassafraswick {

/// Runs a daemon until it is told to stop by SIGTERM or SIGINT.
/// @return An error if it could not start; success after a drained stop.
[[nodiscard]] result<void> RunDaemon(const daemon_settings& settings);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_DAEMON_H_
