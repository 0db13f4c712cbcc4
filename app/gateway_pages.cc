#include "app/gateway_pages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <utility>

#include "sassafraswick/net/http_client.h"

namespace sassafraswick {

result<void> PrintGatewayPage(const std::string& address,
                              const std::string& page, duration timeout) {
  BOOST_OUTCOME_TRY(endpoint gateway, ParseEndpoint(address));
  boost::asio::io_context context(1);
  http_client client(context.get_executor(), gateway, timeout);
  http_request request;
  request.target = "/" + page;
  request.timeout = timeout;
  result<http_response> fetched = MakeError(
      error_kind::kTimeout, "gateway at " + address + ": no response");
  boost::asio::co_spawn(
      context,
      [&client, &request, &fetched]() -> boost::asio::awaitable<void> {
        fetched = co_await client.Call(request);
      },
      boost::asio::detached);
  context.run();
  BOOST_OUTCOME_TRY(http_response response, std::move(fetched));
  constexpr unsigned kOk = 200;
  if (response.status != kOk) {
    return MakeError(error_kind::kConflict,
                     "gateway at " + address + " returned /" + page +
                         " with HTTP status " +
                         std::to_string(response.status));
  }
  std::cout << response.body << "\n";
  return boost::outcome_v2::success();
}

}  // namespace sassafraswick
