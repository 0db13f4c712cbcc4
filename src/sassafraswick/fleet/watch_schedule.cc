#include "sassafraswick/fleet/watch_schedule.h"

#include <algorithm>
#include <utility>

namespace sassafraswick {

duration NextRetryDelay(duration delay, duration max) noexcept {
  return std::min(delay * 2, max);
}

duration watch_schedule::RecordCall(bool answered,
                                    duration max_retry_delay) noexcept {
  failing_ = !answered;
  if (answered) {
    retry_delay_ = kInitialStoreRetryDelay;
    return duration::zero();
  }
  return std::exchange(retry_delay_,
                       NextRetryDelay(retry_delay_, max_retry_delay));
}

}  // namespace sassafraswick
