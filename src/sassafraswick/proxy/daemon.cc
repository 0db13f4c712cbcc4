#include "sassafraswick/proxy/daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <optional>

#include "sassafraswick/core/log.h"
#include "sassafraswick/peer/peer_link.h"
#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/proxy/fleet_service.h"
#include "sassafraswick/proxy/host_runtime.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr duration kSessionSweepInterval = std::chrono::seconds(1);
constexpr duration kDrainTimeout = std::chrono::seconds(30);
constexpr duration kDrainPollInterval = std::chrono::milliseconds(20);

asio::awaitable<void> AcceptCallers(host_runtime& runtime,
                                    asio::ip::tcp::acceptor& acceptor) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  while (acceptor.is_open()) {
    boost::system::error_code failure;
    stream_socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure == asio::error::no_descriptors) {
      co_await Sleep(std::chrono::milliseconds(10));
    }
    if (failure) {
      continue;
    }
    boost::system::error_code ignored;
    if (!runtime.HasRoomForSession()) {
      ++runtime.Metrics().sessions_refused;
      Log(log_level::kWarning, "session_refused",
          {{"sessions", std::to_string(runtime.SessionCount())}});
      socket.close(ignored);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const std::shared_ptr<caller_session> session =
        std::make_shared<caller_session>(runtime, std::move(socket));
    asio::co_spawn(
        executor, [session] { return session->Run(); }, asio::detached);
  }
}

/// Derives the start number from the wall clock, so that it rises with each
/// restart.
std::uint64_t BootNumber() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

asio::awaitable<void> SweepSessions(host_runtime& runtime) {
  while (true) {
    co_await Sleep(kSessionSweepInterval);
    runtime.CheckSessionTimeouts();
  }
}

asio::awaitable<void> StopOnSignal(host_runtime& runtime, fleet_service& fleet,
                                   asio::ip::tcp::acceptor& acceptor) {
  asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
  boost::system::error_code failure;
  co_await signals.async_wait(
      asio::redirect_error(asio::use_awaitable, failure));
  Log(log_level::kInfo, "draining",
      {{"sessions", std::to_string(runtime.SessionCount())}});
  boost::system::error_code ignored;
  acceptor.close(ignored);
  fleet.AnnounceLeave();
  runtime.Drain();
  const time_point deadline = monotonic_clock::now() + kDrainTimeout;
  while (runtime.SessionCount() > 0 && monotonic_clock::now() < deadline) {
    co_await Sleep(kDrainPollInterval);
  }
  Log(log_level::kInfo, "stopped",
      {{"sessions_cut", std::to_string(runtime.SessionCount())}});
  runtime.Context().stop();
}

}  // namespace

result<void> RunDaemon(const daemon_settings& settings) {
  asio::io_context context(1);
  const std::uint64_t boot = BootNumber();
  peer_link link(context, {settings.host, boot, settings.peers},
                 settings.fleet_secret);
  std::optional<fleet_service> fleet;
  host_runtime runtime(
      context, settings, boot,
      [&fleet](const std::string& host, message::envelope envelope) {
        fleet->SendTo(host, std::move(envelope));
      });
  fleet.emplace(runtime, link);
  BOOST_OUTCOME_TRY(runtime.LoadTls());
  BOOST_OUTCOME_TRY(asio::ip::tcp::acceptor acceptor,
                    Listen(context.get_executor(), settings.callers));
  LimitSocketBuffers(acceptor, kCallerSocketBufferBytes);
  BOOST_OUTCOME_TRY(link.Start(
      [&fleet](const message::envelope& received, const std::string& route) {
        fleet->Handle(received, route);
      }));
  fleet->Start();
  asio::co_spawn(context, StopOnSignal(runtime, *fleet, acceptor),
                 asio::detached);
  asio::co_spawn(context, SweepSessions(runtime), asio::detached);
  asio::co_spawn(context, AcceptCallers(runtime, acceptor), asio::detached);
  Log(log_level::kInfo, "started",
      {{"host", settings.host}, {"callers", FormatEndpoint(settings.callers)}});
  context.run();
  return boost::outcome_v2::success();
}

}  // namespace sassafraswick
