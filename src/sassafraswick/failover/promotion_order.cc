#include "sassafraswick/failover/promotion_order.h"

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {

bool MayTakeEffect(const promotion_order& order, const group_health& group,
                   const replacement_settings& settings, time_point now) {
  const instance_health* const instance = FindInstance(group, order.instance);
  if (instance == nullptr || !instance->listed || instance->replaced) {
    return false;
  }
  const time_point due = order.sent_at + settings.promotion_timeout;
  if (now < due) {
    return true;
  }
  const bool is_replica = IsResponsive(*instance) &&
                          instance->requested_at >= due &&
                          !instance->status->is_primary;
  const bool is_down = instance->refused_since.has_value();
  return !is_replica && !is_down &&
         now - order.sent_at < settings.member_return_timeout;
}

}  // namespace sassafraswick
