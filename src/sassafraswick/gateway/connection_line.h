#ifndef SASSAFRASWICK_GATEWAY_CONNECTION_LINE_H_
#define SASSAFRASWICK_GATEWAY_CONNECTION_LINE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "sassafraswick/admission/connection_waiters.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// The operations that wait for a connection to one instance. Each is woken on
/// its own, when it is its turn.

namespace sassafraswick {

class connection_line {
 public:
  explicit connection_line(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  /// Joins the line. The last waiter checks whether it can still be served in
  /// time.
  connection_waiter Join(std::uint32_t priority, time_point deadline) {
    const connection_waiter waiter = waiters_.Add(priority, deadline);
    events_.try_emplace(waiter.id, executor_);
    if (waiters_.Last() != waiter) {
      Wake(waiters_.Last());
    }
    return waiter;
  }

  /// Leaves the line, and passes the turn on.
  void Leave(const connection_waiter& waiter) {
    waiters_.Remove(waiter);
    events_.erase(waiter.id);
    if (woken_ == waiter.id) {
      woken_.reset();
    }
    WakeFirst();
  }

  /// Waits for the waiter's turn.
  boost::asio::awaitable<void> Wait(connection_waiter waiter,
                                    duration timeout) {
    co_await events_.at(waiter.id).Wait(timeout);
    if (woken_ == waiter.id) {
      woken_.reset();
    }
  }

  /// Wakes the first waiter, because a connection has become free.
  void WakeFirst() {
    if (!waiters_.Empty()) {
      woken_ = waiters_.First().id;
      Wake(waiters_.First());
    }
  }

  /// Wakes the next waiter, because this one cannot use the free connection.
  void WakeAfter(const connection_waiter& waiter) {
    const std::optional<connection_waiter> next = waiters_.After(waiter);
    if (next.has_value()) {
      Wake(*next);
    }
  }

  /// Returns whether a free connection has been left to a waiter that has not
  /// run yet.
  [[nodiscard]] bool IsTurnTaken() const noexcept { return woken_.has_value(); }

  [[nodiscard]] connection_waiters& Waiters() noexcept { return waiters_; }

 private:
  void Wake(const connection_waiter& waiter) {
    events_.at(waiter.id).NotifyAll();
  }

  boost::asio::any_io_executor executor_;
  connection_waiters waiters_;
  std::map<std::uint64_t, async_event> events_;
  /// Waiter whose turn it is.
  std::optional<std::uint64_t> woken_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CONNECTION_LINE_H_
