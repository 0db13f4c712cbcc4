#ifndef SASSAFRASWICK_ADMISSION_CONNECTION_WAITERS_H_
#define SASSAFRASWICK_ADMISSION_CONNECTION_WAITERS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "sassafraswick/core/time.h"

/// @file
/// Order and forecast of the operations of one host that wait for one of its
/// connections to an instance.

namespace sassafraswick {

/// An operation that waits for a connection. The order of waiters is that of
/// their priorities and, among equals, of the time that they have left.
struct connection_waiter {
  /// Urgency; 0 is the most urgent.
  std::uint32_t priority = 1;
  /// Time until which the operation waits.
  time_point deadline;
  /// Order of arrival.
  std::uint64_t id = 0;

  auto operator<=>(const connection_waiter&) const = default;
};

class connection_waiters {
 public:
  connection_waiter Add(std::uint32_t priority, time_point deadline);
  void Remove(const connection_waiter& waiter) { waiters_.erase(waiter); }

  [[nodiscard]] bool Empty() const noexcept { return waiters_.empty(); }
  /// The waiter to serve next; the line must not be empty.
  [[nodiscard]] const connection_waiter& First() const {
    return *waiters_.begin();
  }
  /// The waiter to serve last; the line must not be empty.
  [[nodiscard]] const connection_waiter& Last() const {
    return *waiters_.rbegin();
  }
  [[nodiscard]] bool IsFirst(const connection_waiter& waiter) const {
    return !Empty() && First() == waiter;
  }
  /// Returns whether an operation that arrives would be served next.
  [[nodiscard]] bool WouldBeFirst(std::uint32_t priority,
                                  time_point deadline) const;
  [[nodiscard]] std::optional<connection_waiter> After(
      const connection_waiter& waiter) const;

  /// Records how long an operation has used a connection.
  void RecordUse(duration used) noexcept;

  /// Expected time until a waiter gets a connection.
  /// @param connections Connections in use, each of which becomes free once
  /// during the mean time of use.
  [[nodiscard]] duration ExpectedWait(const connection_waiter& waiter,
                                      std::uint32_t connections) const;

 private:
  std::set<connection_waiter> waiters_;
  std::uint64_t last_id_ = 0;
  duration mean_use_ = duration::zero();
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_CONNECTION_WAITERS_H_
