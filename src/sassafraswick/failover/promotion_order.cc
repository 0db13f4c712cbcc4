#include "sassafraswick/failover/promotion_order.h"

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {

order_end FindOrderEnd(const promotion_order& order, const group_health& group,
                       const replacement_settings& settings, time_point now) {
  const instance_health* const instance = FindInstance(group, order.instance);
  if (instance == nullptr || !instance->listed || instance->replaced) {
    return order_end::kInstanceLeft;
  }
  const time_point due = order.sent_at + settings.promotion_timeout;
  if (now < due) {
    return order_end::kNone;
  }
  if (instance->refused_since.has_value()) {
    return order_end::kInstanceDown;
  }
  const bool is_replica = IsResponsive(*instance) &&
                          instance->requested_at >= due &&
                          !instance->status->is_primary;
  if (is_replica) {
    return order_end::kInstanceIsReplica;
  }
  return now - order.sent_at < settings.member_return_timeout
             ? order_end::kNone
             : order_end::kTimedOut;
}

void EndOrder(replacement_state& state, order_end reason) {
  if (state.order.has_value()) {
    state.order.reset();
    state.last_order_end = reason;
  }
}

}  // namespace sassafraswick
