#ifndef SASSAFRASWICK_FAILOVER_STEP_DOWN_RELAY_H_
#define SASSAFRASWICK_FAILOVER_STEP_DOWN_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Step-downs through other hosts. A primary that is partitioned from the
/// holder of the failover lease only still acknowledges writes to hosts that
/// reach it, as soon as an instance joins that confirms them. Such a host can
/// make it step down. To a replica a step-down is a question: its response
/// tells that it still runs, and what it has received.

namespace sassafraswick {

/// Number of hosts that are asked at a time. While a partition separates six of
/// ten hosts from a primary, one of them reaches it with 98% probability.
inline constexpr std::size_t kStepDownRelays = 8;

/// Returns whether other hosts should be asked to carry out a request: it makes
/// an instance step down that does not respond to this host.
[[nodiscard]] bool NeedsRelay(const replacement_state& state,
                              const group_health& group,
                              const replacement_action& request);

/// Returns whether an instance that is silent, slow or busy still runs with the
/// log that it paused with, by a recent response to a step-down. Another
/// process may run under its identifier otherwise, with an empty log.
[[nodiscard]] bool HasAnsweredStepDown(const replacement_state& state,
                                       const std::string& instance,
                                       const replacement_settings& settings,
                                       time_point now);

/// Returns the hosts to ask. Each attempt asks others, if there are enough.
/// @param hosts All hosts of the fleet.
/// @param self This host, which is not among the result.
[[nodiscard]] std::vector<std::string> StepDownRelays(
    std::string_view pool, std::uint64_t attempt,
    const std::vector<std::string>& hosts, const std::string& self);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_STEP_DOWN_RELAY_H_
