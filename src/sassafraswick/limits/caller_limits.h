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

/// Bounds on what a process holds for its callers.
struct caller_bounds {
  std::size_t max_sessions = 0;
  /// Bytes of messages, responses and session state of all callers together.
  std::size_t max_held_bytes = 0;
};

/// Descriptors that are reserved for files.
inline constexpr std::uint64_t kFileDescriptors = 200;
/// Memory of a process whose limit is not known, in megabytes.
inline constexpr std::uint64_t kDefaultMemoryMb = 512;
/// Memory that an idle session occupies at most, in the process and in the
/// kernel.
inline constexpr std::uint64_t kSessionBytes = 8192;
/// Size of the kernel's send and receive buffers for a caller, in bytes.
inline constexpr int kCallerSocketBufferBytes = 32'768;

/// Half of the memory is for sessions and a quarter for what they hold. An
/// eighth of the descriptors that are not for files is for other connections.
/// @param descriptor_limit Applies if the settings contain none.
[[nodiscard]] caller_bounds DeriveCallerBounds(const process_limits& limits,
                                               std::uint64_t descriptor_limit);

/// Returns the operating system's limit on the descriptors of this process.
[[nodiscard]] std::uint64_t DescriptorLimit();

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_CALLER_LIMITS_H_
