#ifndef SASSAFRASWICK_NET_ASYNC_EVENT_H_
#define SASSAFRASWICK_NET_ASYNC_EVENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Notification and delays for coroutines of a single thread.

namespace sassafraswick {

/// An event that any number of coroutines may wait for. It has no state: a
/// notification wakes only coroutines that already wait.
class async_event {
 public:
  explicit async_event(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  /// Wakes all waiting coroutines.
  void NotifyAll();

  /// Waits for the next notification.
  /// @return False if the timeout expired first.
  boost::asio::awaitable<bool> Wait(duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  std::vector<boost::asio::steady_timer*> waiting_;
};

/// Suspends the coroutine for a time span.
boost::asio::awaitable<void> Sleep(duration span);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_ASYNC_EVENT_H_
