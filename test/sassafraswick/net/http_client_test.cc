#include "sassafraswick/net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "sassafraswick/net/tcp.h"
#include "test/support/raw_listener.h"

/// @file
/// Tests the HTTP client against listening sockets.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr duration kRequestTimeout = std::chrono::milliseconds(100);

/// Accepts one connection and collects what arrives on it.
class silent_server {
 public:
  explicit silent_server(asio::io_context& context)
      : acceptor_(context, asio::ip::tcp::endpoint(
                               asio::ip::address_v4::loopback(), 0)) {
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, stream_socket socket) {
          if (!failure) {
            socket_.emplace(std::move(socket));
          }
        });
  }

  [[nodiscard]] endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  [[nodiscard]] bool HasConnection() const { return socket_.has_value(); }
  [[nodiscard]] std::size_t ReceivedBytes() {
    return socket_.has_value() ? socket_->available() : 0;
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
  std::optional<stream_socket> socket_;
};

/// Makes a request that ends after 100 ms without response.
result<http_response> CallOnce(asio::io_context& context,
                               const endpoint& address, bool may_send) {
  http_client client(context.get_executor(), address);
  std::optional<result<http_response>> outcome;
  asio::co_spawn(
      context,
      [&client, &outcome, may_send]() -> asio::awaitable<void> {
        http_request request;
        request.target = "/promote";
        request.timeout = kRequestTimeout;
        request.time_left = [may_send] {
          return may_send ? kRequestTimeout : duration::zero();
        };
        outcome.emplace(co_await client.Call(std::move(request)));
      },
      asio::detached);
  while (!outcome.has_value()) {
    context.run_one();
  }
  return *outcome;
}

// A holder of the failover lease that was suspended after it had checked its
// lease sent an order with an old token. Seen with: review/4.
TEST_CASE("a request that is no longer valid once connected is not sent",
          "[http_client]") {
  asio::io_context context;
  silent_server server(context);
  const result<http_response> outcome =
      CallOnce(context, server.Address(), false);
  REQUIRE_FALSE(outcome);
  CHECK(outcome.error().kind == error_kind::kConflict);
  context.run_for(std::chrono::milliseconds(50));
  CHECK(server.HasConnection());
  CHECK(server.ReceivedBytes() == 0);
}

TEST_CASE("a valid request is sent", "[http_client]") {
  asio::io_context context;
  silent_server server(context);
  const result<http_response> outcome =
      CallOnce(context, server.Address(), true);
  REQUIRE_FALSE(outcome);
  CHECK(outcome.error().kind == error_kind::kUnavailable);
  context.run_for(std::chrono::milliseconds(50));
  CHECK(server.ReceivedBytes() > 0);
}

/// Makes a call and destroys the client.
result<http_response> CallAndEnd(const test_support::raw_listener& server,
                                 http_request request) {
  asio::io_context context;
  std::optional<result<http_response>> outcome;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        http_client client(context.get_executor(),
                           {"127.0.0.1", server.Port()});
        outcome.emplace(co_await client.Call(std::move(request)));
      },
      asio::detached);
  context.run();
  return *outcome;
}

http_request SmallRequest() {
  http_request request;
  request.verb = boost::beast::http::verb::post;
  request.target = "/promote";
  request.body = "{}";
  request.timeout = kRequestTimeout;
  return request;
}

// Guards against: an order that a cut held up reaches the platform after the
// order of the next holder. Seen with: review/8.
TEST_CASE("a call that is given up resets its connection", "[http_client]") {
  test_support::raw_listener server;
  const result<http_response> outcome = CallAndEnd(server, SmallRequest());
  REQUIRE_FALSE(outcome);
  CHECK(outcome.error().kind == error_kind::kUnavailable);
  server.Accept();
  CHECK(server.ReadToEnd().failure == ECONNRESET);
}

// Guards against: the kernel delivers what a given-up call has left to send.
// Seen with: review/8.
TEST_CASE("what a call that is given up has not delivered is lost",
          "[http_client]") {
  constexpr int kReceiveBuffer = 4096;
  constexpr std::size_t kBodyBytes = 200'000;
  test_support::raw_listener server(kReceiveBuffer);
  http_request request = SmallRequest();
  request.body = std::string(kBodyBytes, 'x');
  REQUIRE_FALSE(CallAndEnd(server, request));
  server.Accept();
  const test_support::connection_end end = server.ReadToEnd();
  CHECK(end.failure == ECONNRESET);
  CHECK(end.bytes.size() < kBodyBytes);
}

// Guards against: a call that is cancelled, not timed out, closes in order.
// Seen with: review/8.
TEST_CASE("a call whose client is destroyed resets its connection",
          "[http_client]") {
  test_support::raw_listener server;
  {
    asio::io_context context;
    http_client client(context.get_executor(), {"127.0.0.1", server.Port()});
    asio::co_spawn(
        context,
        [&client]() -> asio::awaitable<void> {
          static_cast<void>(co_await client.Call(SmallRequest()));
        },
        asio::detached);
    context.run_for(kRequestTimeout / 2);
  }
  server.Accept();
  CHECK(server.ReadToEnd().failure == ECONNRESET);
}

// Guards against: a reset after a response, which could drop it. Seen with:
// review/8.
TEST_CASE("a call that has its response closes its connection in order",
          "[http_client]") {
  const std::string end_of_head =
      GENERATE(std::string("\r\n"), std::string("Connection: close\r\n\r\n"));
  test_support::raw_listener server;
  std::thread responder([&server, &end_of_head] {
    server.Accept();
    static_cast<void>(server.Read(4096));
    server.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + end_of_head +
                 "{}");
  });
  http_request request = SmallRequest();
  request.timeout = std::chrono::seconds(2);
  const result<http_response> outcome = CallAndEnd(server, request);
  responder.join();
  REQUIRE(outcome);
  CHECK(outcome.value().body == "{}");
  CHECK(server.ReadToEnd().failure == 0);
}

// Guards against: a connection that sent nothing is reset. Seen with: review/8.
TEST_CASE("a request that is not sent leaves its connection in order",
          "[http_client]") {
  test_support::raw_listener server;
  http_request request = SmallRequest();
  request.time_left = [] { return duration::zero(); };
  REQUIRE_FALSE(CallAndEnd(server, request));
  server.Accept();
  const test_support::connection_end end = server.ReadToEnd();
  CHECK(end.failure == 0);
  CHECK(end.bytes.empty());
}

// Guards against: an order is awaited beyond the lease of its sender. Seen
// with: review/8.
TEST_CASE("a request waits no longer than it is valid", "[http_client]") {
  using std::chrono::milliseconds;
  CHECK(BoundTimeout(milliseconds(800), milliseconds(2000)) ==
        milliseconds(800));
  CHECK(BoundTimeout(milliseconds(800), milliseconds(300)) ==
        milliseconds(300));
  CHECK(BoundTimeout(milliseconds(800), milliseconds(-1)) == duration::zero());
  test_support::raw_listener server;
  http_request request = SmallRequest();
  request.timeout = std::chrono::seconds(30);
  request.time_left = [] { return kRequestTimeout; };
  const time_point called_at = monotonic_clock::now();
  REQUIRE_FALSE(CallAndEnd(server, request));
  CHECK(monotonic_clock::now() - called_at < request.timeout / 2);
  server.Accept();
  CHECK(server.ReadToEnd().failure == ECONNRESET);
}

TEST_CASE("a key of any characters is encoded for a request target",
          "[http_client]") {
  CHECK(PercentEncode("servers/i-7f3a~_.") == "servers/i-7f3a~_.");
  CHECK(PercentEncode("a b&after=\r\n%\xc3\xa9") ==
        "a%20b%26after%3D%0D%0A%25%C3%A9");
  CHECK(PercentEncode("").empty());
}

}  // namespace
}  // namespace sassafraswick
