#ifndef SASSAFRASWICK_GATEWAY_FAILOVER_LOG_H_
#define SASSAFRASWICK_GATEWAY_FAILOVER_LOG_H_

#include <string>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Log lines of the holder of the failover lease: what it does, and what it
/// knew of each instance when it decided.

namespace sassafraswick {

/// Formats what is known of each instance: its identifier, last known log
/// position and, in parentheses, the age of its last status and what limits its
/// use.
[[nodiscard]] std::string DescribeInstances(const replacement_state& state,
                                            const group_health& group,
                                            time_point now);

/// Logs that a replacement entered another phase.
void LogPhase(const std::string& pool, const replacement_state& state);

/// Logs which instance is promoted and what is known of all others.
void LogChoice(const std::string& pool, const replacement_state& state,
               const group_health& group, time_point now);

/// Logs how an order ended.
void LogOrderEnd(const std::string& pool, const promotion_order& order,
                 const replacement_state& state, time_point now);

/// Logs which instances keep a fence from being complete.
void LogIncompleteFence(const std::string& pool, const replacement_state& state,
                        const group_health& group, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FAILOVER_LOG_H_
