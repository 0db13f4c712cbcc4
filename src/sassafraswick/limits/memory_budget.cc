#include "sassafraswick/limits/memory_budget.h"

#include <bit>
#include <utility>

namespace sassafraswick {

void memory_budget::Set(holder_id holder, std::size_t bytes, bool may_close) {
  const auto found = holdings_.find(holder);
  if (found != holdings_.end()) {
    used_ -= found->second.bytes;
  }
  if (bytes <= kUncountedBytes) {
    if (found != holdings_.end()) {
      holdings_.erase(found);
    }
    return;
  }
  used_ += bytes;
  const holding recorded{bytes, ++last_change_, may_close};
  if (found != holdings_.end()) {
    found->second = recorded;
  } else {
    holdings_.emplace(holder, recorded);
  }
}

std::optional<memory_budget::holder_id> memory_budget::FindExcess() const {
  if (!IsExceeded()) {
    return std::nullopt;
  }
  std::optional<holder_id> selected;
  holding largest;
  for (const std::pair<const holder_id, holding>& entry : holdings_) {
    const holding& each = entry.second;
    if (!each.may_close) {
      continue;
    }
    const int size_class = static_cast<int>(std::bit_width(each.bytes));
    const int largest_class = static_cast<int>(std::bit_width(largest.bytes));
    const bool exceeds =
        size_class > largest_class ||
        (size_class == largest_class && each.change < largest.change);
    if (!selected.has_value() || exceeds) {
      selected = entry.first;
      largest = each;
    }
  }
  return selected;
}

}  // namespace sassafraswick
