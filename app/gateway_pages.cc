#include "app/gateway_pages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <utility>

#include "sassafraswick/net/http_client.h"

namespace sassafraswick {

result<void> ShowGatewayPage(const std::string& address,
                             const std::string& page, duration timeout) {
  BOOST_OUTCOME_TRY(endpoint gateway, ParseEndpoint(address));
  boost::asio::io_context context(1);
  http_client client(context.get_executor(), gateway, timeout);
  http_request call;
  call.target = "/" + page;
  call.timeout = timeout;
  result<http_response> fetched =
      MakeError(error_kind::kTimeout, "gateway at " + address + ": no answer");
  boost::asio::co_spawn(
      context,
      [&client, &call, &fetched]() -> boost::asio::awaitable<void> {
        fetched = co_await client.Call(call);
      },
      boost::asio::detached);
  context.run();
  BOOST_OUTCOME_TRY(http_response answer, std::move(fetched));
  constexpr unsigned kOk = 200;
  if (answer.status != kOk) {
    return MakeError(error_kind::kConflict,
                     "gateway at " + address + " answered /" + page +
                         " with status " + std::to_string(answer.status));
  }
  std::cout << answer.body << "\n";
  return boost::outcome_v2::success();
}

}  // namespace sassafraswick
