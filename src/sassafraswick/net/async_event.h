#ifndef SASSAFRASWICK_NET_ASYNC_EVENT_H_
#define SASSAFRASWICK_NET_ASYNC_EVENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Wakes coroutines of one thread.

namespace sassafraswick {

/// An event that any number of coroutines may wait for.
class async_event {
 public:
  explicit async_event(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  /// Wakes all that wait now.
  void NotifyAll();

  /// Waits for the next notification.
  /// @param limit Longest wait.
  /// @return False if the limit passed first.
  boost::asio::awaitable<bool> Wait(duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  std::vector<boost::asio::steady_timer*> waiting_;
};

/// Waits for a time span.
boost::asio::awaitable<void> Sleep(duration span);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_ASYNC_EVENT_H_
