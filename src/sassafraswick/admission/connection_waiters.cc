#include "sassafraswick/admission/connection_waiters.h"

#include <cstddef>
#include <iterator>

namespace sassafraswick {
namespace {

/// Divisor of a new sample's weight in the moving average.
constexpr int kSmoothing = 16;

}  // namespace

connection_waiter connection_waiters::Add(std::uint32_t priority,
                                          time_point deadline) {
  connection_waiter waiter;
  waiter.priority = priority;
  waiter.deadline = deadline;
  waiter.id = ++last_id_;
  waiters_.insert(waiter);
  return waiter;
}

bool connection_waiters::WouldBeFirst(std::uint32_t priority,
                                      time_point deadline) const {
  connection_waiter arrival;
  arrival.priority = priority;
  arrival.deadline = deadline;
  arrival.id = last_id_ + 1;
  return Empty() || arrival < First();
}

std::optional<connection_waiter> connection_waiters::After(
    const connection_waiter& waiter) const {
  const auto next = waiters_.upper_bound(waiter);
  return next == waiters_.end() ? std::nullopt : std::optional(*next);
}

void connection_waiters::RecordUse(duration used) noexcept {
  mean_use_ = mean_use_ == duration::zero()
                  ? used
                  : (mean_use_ * (kSmoothing - 1) + used) / kSmoothing;
}

duration connection_waiters::ExpectedWait(const connection_waiter& waiter,
                                          std::uint32_t connections) const {
  if (connections == 0) {
    return duration::zero();
  }
  const std::ptrdiff_t turns =
      std::distance(waiters_.begin(), waiters_.lower_bound(waiter)) + 1;
  return mean_use_ * turns / connections;
}

}  // namespace sassafraswick
