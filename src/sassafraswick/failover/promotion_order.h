#ifndef SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
#define SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// Promotions that were requested and have not taken effect. An order cannot be
/// recalled: if another instance were ordered meanwhile, what the first one
/// acknowledges as primary would be lost.

namespace sassafraswick {

/// Returns whether an order may still take effect. It cannot once its instance
/// has left. After `promotion_timeout` it does not if the instance is down or
/// reports that it is a replica, and after `member_return_timeout` in any case.
[[nodiscard]] bool MayTakeEffect(const promotion_order& order,
                                 const group_health& group,
                                 const replacement_settings& settings,
                                 time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_PROMOTION_ORDER_H_
