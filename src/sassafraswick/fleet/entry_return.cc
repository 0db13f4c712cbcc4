#include "sassafraswick/fleet/entry_return.h"

namespace sassafraswick {

void entry_return_tracker::RecordCall(bool answered, time_point now) noexcept {
  if (!answered) {
    available_since_.reset();
    return;
  }
  if (!available_since_.has_value()) {
    available_since_ = now;
  }
  have_returned_ = HaveReturned(now);
}

bool entry_return_tracker::HaveReturned(time_point now) const noexcept {
  return have_returned_ || (available_since_.has_value() &&
                            now - *available_since_ >= kEntryReturnTime);
}

}  // namespace sassafraswick
