#include "sassafraswick/net/async_event.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sassafraswick {
namespace {

boost::asio::awaitable<boost::system::error_code> WaitTimer(
    boost::asio::steady_timer& timer) {
  boost::system::error_code failure;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, failure));
  co_return failure;
}

}  // namespace

void async_event::NotifyAll() {
  const std::vector<boost::asio::steady_timer*> woken =
      std::exchange(waiting_, {});
  for (boost::asio::steady_timer* const timer : woken) {
    timer->expires_at(boost::asio::steady_timer::time_point::min());
  }
}

boost::asio::awaitable<bool> async_event::Wait(duration timeout) {
  boost::asio::steady_timer timer(executor_, timeout);
  waiting_.push_back(&timer);
  co_await WaitTimer(timer);
  const auto still_waiting =
      std::find(waiting_.begin(), waiting_.end(), &timer);
  if (still_waiting == waiting_.end()) {
    co_return true;
  }
  waiting_.erase(still_waiting);
  co_return false;
}

boost::asio::awaitable<void> Sleep(duration span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  span);
  co_await WaitTimer(timer);
}

}  // namespace sassafraswick
