#include "sassafraswick/limits/caller_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace sassafraswick {

caller_bounds DeriveCallerBounds(const process_limits& limits,
                                 std::uint64_t descriptor_limit) {
  constexpr std::uint64_t kMegabyte = 1'048'576;
  constexpr std::uint64_t kSessionShare = 2;
  constexpr std::uint64_t kHeldShare = 4;
  constexpr std::uint64_t kOtherConnectionsShare = 8;
  constexpr std::uint64_t kMaxMemoryMb = 1ULL << 32U;
  const std::uint64_t memory =
      std::min(limits.memory_mb.value_or(kDefaultMemoryMb), kMaxMemoryMb) *
      kMegabyte;
  const std::uint64_t descriptors =
      limits.descriptors.value_or(descriptor_limit);
  const std::uint64_t sockets =
      descriptors - std::min(descriptors / 2, kFileDescriptors);
  caller_bounds bounds;
  bounds.max_sessions = static_cast<std::size_t>(
      std::min(memory / kSessionShare / kSessionBytes,
               sockets - sockets / kOtherConnectionsShare));
  bounds.max_held_bytes = static_cast<std::size_t>(memory / kHeldShare);
  return bounds;
}

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  const bool known =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return known ? limit.rlim_cur : std::numeric_limits<std::uint32_t>::max();
}

}  // namespace sassafraswick
