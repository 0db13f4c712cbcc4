#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/peer/peer_link.h"
#include "test/support/process.h"

/// @file
/// Messages between hosts, also over a proxy whose connections stall.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

endpoint Loopback(std::uint16_t port) {
  return ParseEndpoint("127.0.0.1:" + std::to_string(port)).value();
}

/// TCP proxy. After `StallOpenConnections` the connections that exist stay open
/// and forward nothing; new ones work.
class stalling_proxy {
 public:
  stalling_proxy(asio::io_context& context, const endpoint& listen,
                 endpoint target)
      : context_(context), target_(std::move(target)) {
    acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(
        Listen(context.get_executor(), listen).value());
    asio::co_spawn(context_, Accept(), asio::detached);
  }

  void StallOpenConnections() { ++generation_; }

 private:
  using shared_socket = std::shared_ptr<stream_socket>;

  asio::awaitable<void> Accept() {
    while (true) {
      const shared_socket from = std::make_shared<stream_socket>(
          co_await acceptor_->async_accept(asio::use_awaitable));
      result<stream_socket> connected =
          co_await Connect(target_, std::chrono::seconds(1));
      if (!connected) {
        continue;
      }
      const shared_socket to =
          std::make_shared<stream_socket>(std::move(connected.value()));
      asio::co_spawn(context_, Forward(from, to, generation_), asio::detached);
      asio::co_spawn(context_, Forward(to, from, generation_), asio::detached);
    }
  }

  asio::awaitable<void> Forward(shared_socket from, shared_socket to,
                                int generation) {
    std::array<char, 4096> bytes{};
    boost::system::error_code failure;
    while (!failure) {
      const std::size_t got = co_await from->async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, failure));
      if (generation == generation_ && !failure) {
        co_await asio::async_write(
            *to, asio::buffer(bytes, got),
            asio::redirect_error(asio::use_awaitable, failure));
      }
    }
    boost::system::error_code ignored;
    to->close(ignored);
  }

  asio::io_context& context_;
  endpoint target_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  int generation_ = 0;
};

TEST_CASE("a connection that stalls without a reset is replaced",
          "[gateway][peer]") {
  asio::io_context context;
  const endpoint near = Loopback(test_support::FreePort());
  const endpoint far = Loopback(test_support::FreePort());
  const endpoint proxy_address = Loopback(test_support::FreePort());
  peer_link sender(context, {"near", 1, near}, "secret");
  peer_link receiver(context, {"far", 1, far}, "secret");
  stalling_proxy proxy(context, proxy_address, far);
  int received = 0;
  REQUIRE(sender.Start([](const message::envelope&, const std::string&) {}));
  REQUIRE(receiver.Start([&received](const message::envelope&,
                                     const std::string&) { ++received; }));
  const auto send_until_received = [&] {
    const int before = received;
    // Twice the sum of the heartbeat interval and timeout of 2 s each.
    const time_point deadline =
        monotonic_clock::now() + std::chrono::seconds(8);
    while (received == before && monotonic_clock::now() < deadline) {
      message::envelope envelope;
      envelope.mutable_configuration_request();
      sender.Send(proxy_address, envelope);
      context.run_for(std::chrono::milliseconds(100));
    }
    return received > before;
  };
  REQUIRE(send_until_received());
  context.run_for(std::chrono::milliseconds(200));
  proxy.StallOpenConnections();
  CHECK(send_until_received());
}

TEST_CASE("receiving continues after a message whose handler throws",
          "[gateway][peer]") {
  asio::io_context context;
  const endpoint near = Loopback(test_support::FreePort());
  const endpoint far = Loopback(test_support::FreePort());
  peer_link sender(context, {"near", 1, near}, "secret");
  peer_link receiver(context, {"far", 1, far}, "secret");
  int received = 0;
  REQUIRE(sender.Start([](const message::envelope&, const std::string&) {}));
  REQUIRE(
      receiver.Start([&received](const message::envelope&, const std::string&) {
        if (++received == 1) {
          throw std::runtime_error("unexpected");
        }
      }));
  const time_point deadline = monotonic_clock::now() + std::chrono::seconds(5);
  while (received < 3 && monotonic_clock::now() < deadline) {
    message::envelope envelope;
    envelope.mutable_configuration_request();
    sender.Send(far, envelope);
    context.run_for(std::chrono::milliseconds(50));
  }
  CHECK(received >= 3);
}

TEST_CASE("a message that arrived before another was sent is received at once",
          "[gateway][peer]") {
  constexpr int kRounds = 20;
  constexpr duration kNever = std::chrono::hours(1);
  asio::io_context near_context;
  asio::io_context far_context;
  const endpoint near = Loopback(test_support::FreePort());
  const endpoint far = Loopback(test_support::FreePort());
  peer_link receiver(near_context, {"near", 1, near}, "secret");
  peer_link sender(far_context, {"far", 1, far}, "secret");
  int received = 0;
  REQUIRE(receiver.Start(
      [&](const message::envelope&, const std::string&) {
        ++received;
        near_context.stop();
      },
      kNever));
  REQUIRE(sender.Start([](const message::envelope&, const std::string&) {}));
  message::envelope envelope;
  envelope.mutable_configuration_request();
  for (int round = 1; round <= kRounds; ++round) {
    sender.Send(near, envelope);
    // The message arrives while the receiver is busy, which then sends one.
    test_support::Pause(std::chrono::milliseconds(20));
    receiver.Send(far, envelope);
    near_context.restart();
    near_context.run_for(std::chrono::seconds(5));
    REQUIRE(received == round);
  }
}

// Guards against lost replies, found in run mdb-pedidos-large quiet-1: a host
// that replied to a whole fleet opened a connection for each reply and closed
// the oldest one with messages still queued.
TEST_CASE("a host replies to more hosts than it opens connections to",
          "[gateway][peer]") {
  constexpr int kHosts = 90;
  asio::io_context context;
  const endpoint listen = Loopback(test_support::FreePort());
  peer_link hub(context, {"hub", 1, listen}, "secret");
  REQUIRE(hub.Start([&hub](const message::envelope&, const std::string& route) {
    message::envelope envelope;
    envelope.mutable_token_answer();
    hub.Reply(route, envelope);
  }));
  int response_count = 0;
  std::vector<std::unique_ptr<peer_link>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    const endpoint address = Loopback(test_support::FreePort());
    hosts.push_back(std::make_unique<peer_link>(
        context, peer_identity{"host" + std::to_string(i), 1, address},
        "secret"));
    REQUIRE(
        hosts.back()->Start([&response_count](const message::envelope& received,
                                              const std::string&) {
          response_count += received.has_token_answer() ? 1 : 0;
        }));
  }
  constexpr int kRounds = 3;
  for (int round = 1; round <= kRounds; ++round) {
    for (const std::unique_ptr<peer_link>& host : hosts) {
      message::envelope envelope;
      envelope.mutable_token_transfer();
      host->Send(listen, envelope);
    }
    const time_point deadline =
        monotonic_clock::now() + std::chrono::seconds(5);
    while (response_count < round * kHosts &&
           monotonic_clock::now() < deadline) {
      context.run_for(std::chrono::milliseconds(20));
    }
    CHECK(response_count == round * kHosts);
  }
}

}  // namespace
}  // namespace sassafraswick
