#ifndef SASSAFRASWICK_LIMITS_CALLER_LIMITS_H_
#define SASSAFRASWICK_LIMITS_CALLER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "sassafraswick/core/time.h"

/// @file
/// What a process may hold for its callers, derived from the limits of its
/// machine.

namespace sassafraswick {

/// Limits of a process, from its settings.
struct process_limits {
  /// Memory of the process in megabytes, if known.
  std::optional<std::uint64_t> memory_mb;
  /// File descriptors of the process, if known.
  std::optional<std::uint64_t> descriptors;
  /// Longest time for the transfer of one message to or from a caller.
  duration message_timeout = std::chrono::seconds(60);
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CALLER_LIMITS_H_
