#ifndef SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
#define SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_

#include <string>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Promotions that were requested and may still take effect. An order cannot be
/// recalled: if another instance led meanwhile, what it acknowledged would be
/// lost.

namespace sassafraswick {

/// Records that the promotion of an instance is requested now, perhaps once
/// more.
void AddOrder(replacement_state& state, const std::string& instance,
              const group_health& group, time_point now);

/// Takes over an order of an earlier holder of the failover lease.
/// @param requests How often the promotion was requested.
void InheritOrder(replacement_state& state, const std::string& instance,
                  unsigned requests, time_point now);

/// Counts a request as carried out if its instance leads a term that began
/// since. Forgets the order once all requests were, or can no longer be: its
/// instance has left for good, or `order_lifetime` has passed since the last
/// request.
void UpdateOrder(replacement_state& state, const group_health& group,
                 const replacement_settings& settings, time_point now);

/// Records that the last request is known to have no effect. Earlier ones may
/// still have.
void CancelRequest(replacement_state& state);

/// Returns whether the promotion of an instance may be requested: no other
/// instance's may still take effect, and its own has been awaited for
/// `promotion_timeout`, though not for `order_lifetime` in all.
[[nodiscard]] bool MayOrder(const replacement_state& state,
                            const std::string& instance,
                            const replacement_settings& settings,
                            time_point now);

/// Returns whether an instance other than the one whose promotion may take
/// effect leads the group.
[[nodiscard]] bool IsOrderUnsettled(const replacement_state& state,
                                    const group_health& group);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
