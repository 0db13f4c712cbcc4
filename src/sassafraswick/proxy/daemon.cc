#include "sassafraswick/proxy/daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <random>

#include "sassafraswick/core/log.h"
#include "sassafraswick/peer/peer_link.h"
#include "sassafraswick/platform/configuration_store.h"
#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/proxy/dump.h"
#include "sassafraswick/proxy/host_runtime.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr duration kWatchLimit = std::chrono::seconds(10);
constexpr duration kStoreRetry = std::chrono::milliseconds(500);
constexpr duration kHostListInterval = std::chrono::seconds(2);
constexpr duration kHostListLimit = std::chrono::seconds(1);
constexpr duration kSweepInterval = std::chrono::seconds(1);
constexpr duration kDrainLimit = std::chrono::seconds(30);
constexpr duration kDrainTick = std::chrono::milliseconds(20);

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
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const std::shared_ptr<caller_session> session =
        std::make_shared<caller_session>(runtime, std::move(socket));
    asio::co_spawn(
        executor, [session] { return session->Run(); }, asio::detached);
  }
}

/// Follows the configuration record.
asio::awaitable<void> FollowConfiguration(host_runtime& runtime) {
  etcd_store store(runtime.Settings().platform.store);
  while (true) {
    result<versioned_configuration> current = co_await ReadConfiguration(store);
    if (!current) {
      Log(log_level::kWarning, "store_unavailable",
          {{"reason", current.error().message}});
      co_await Sleep(kStoreRetry);
      continue;
    }
    if (current.value().revision > 0) {
      runtime.Apply(std::make_shared<const configuration>(
          std::move(current.value().value)));
    }
    const result<std::optional<stored_record>> change =
        co_await store.Watch(std::string(kConfigurationKey),
                             current.value().revision + 1, kWatchLimit);
    if (!change) {
      co_await Sleep(kStoreRetry);
    }
  }
}

asio::awaitable<void> FollowHosts(host_runtime& runtime) {
  while (true) {
    const result<std::vector<listed_host>> hosts = co_await FetchHosts(
        runtime.Settings().platform.host_list, kHostListLimit);
    if (hosts) {
      fleet_table& fleet = runtime.Fleet();
      for (const listed_host& listed : hosts.value()) {
        fleet_member& member = fleet.members[listed.host];
        member.host = listed.host;
        member.availability_zone = listed.availability_zone;
        member.peers = listed.peers;
        member.leaving = listed.leaving;
      }
    }
    co_await Sleep(kHostListInterval);
  }
}

void AnswerAdmin(host_runtime& runtime, peer_link& link,
                 const message::admin_request& request,
                 const std::string& route) {
  message::envelope answer;
  answer.mutable_admin_answer()->set_json(
      request.kind() == "dump" ? DumpJson(runtime) : StatusJson(runtime));
  link.Reply(route, std::move(answer));
}

asio::awaitable<void> SweepSessions(host_runtime& runtime) {
  while (true) {
    co_await Sleep(kSweepInterval);
    runtime.Sweep();
  }
}

asio::awaitable<void> StopOnSignal(host_runtime& runtime,
                                   asio::ip::tcp::acceptor& acceptor) {
  asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
  boost::system::error_code failure;
  co_await signals.async_wait(
      asio::redirect_error(asio::use_awaitable, failure));
  Log(log_level::kInfo, "draining",
      {{"sessions", std::to_string(runtime.SessionCount())}});
  boost::system::error_code ignored;
  acceptor.close(ignored);
  runtime.Drain();
  const time_point end = monotonic_clock::now() + kDrainLimit;
  while (runtime.SessionCount() > 0 && monotonic_clock::now() < end) {
    co_await Sleep(kDrainTick);
  }
  Log(log_level::kInfo, "stopped",
      {{"sessions_cut", std::to_string(runtime.SessionCount())}});
  runtime.Context().stop();
}

}  // namespace

result<void> RunDaemon(const daemon_settings& settings) {
  asio::io_context context(1);
  host_runtime runtime(context, settings);
  BOOST_OUTCOME_TRY(runtime.LoadTls());
  BOOST_OUTCOME_TRY(asio::ip::tcp::acceptor acceptor,
                    Listen(context.get_executor(), settings.callers));
  runtime.Fleet().members[settings.host] = {
      settings.host, settings.availability_zone, settings.peers};
  const peer_identity identity{settings.host, std::random_device{}(),
                               settings.peers};
  peer_link link(context, identity, settings.fleet_secret);
  BOOST_OUTCOME_TRY(
      link.Start([&runtime, &link](const message::envelope& received,
                                   const std::string& route) {
        if (received.has_admin_request()) {
          AnswerAdmin(runtime, link, received.admin_request(), route);
        }
      }));
  asio::co_spawn(context, StopOnSignal(runtime, acceptor), asio::detached);
  asio::co_spawn(context, FollowConfiguration(runtime), asio::detached);
  asio::co_spawn(context, FollowHosts(runtime), asio::detached);
  asio::co_spawn(context, SweepSessions(runtime), asio::detached);
  asio::co_spawn(context, AcceptCallers(runtime, acceptor), asio::detached);
  Log(log_level::kInfo, "started",
      {{"host", settings.host}, {"callers", FormatEndpoint(settings.callers)}});
  context.run();
  return boost::outcome_v2::success();
}

}  // namespace sassafraswick
