#ifndef SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
#define SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Promotions that were requested and have not taken effect. An order cannot be
/// recalled: if another instance were ordered meanwhile, what the first one
/// acknowledges as primary would be lost.

namespace sassafraswick {

/// Returns why an order can no longer take effect, or `kNone`. It cannot once
/// its instance has left. After `promotion_timeout` it does not if the instance
/// is down or reports that it is a replica, and after `member_return_timeout`
/// in any case.
[[nodiscard]] order_end FindOrderEnd(const promotion_order& order,
                                     const group_health& group,
                                     const replacement_settings& settings,
                                     time_point now);

/// Forgets the order, if there is one.
void EndOrder(replacement_state& state, order_end reason);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
