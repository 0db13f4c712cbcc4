#ifndef SASSAFRASWICK_GATEWAY_GATEWAY_H_
#define SASSAFRASWICK_GATEWAY_GATEWAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "sassafraswick/gateway/client_session.h"
#include "sassafraswick/gateway/failover_agent.h"
#include "sassafraswick/gateway/fleet_agent.h"
#include "sassafraswick/gateway/settings.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/peer/peer_link.h"

/// @file
/// A whole process: callers in front, a platform behind.

namespace sassafraswick {

/// Time after which no new callers arrive: the entry asks once a second and
/// needs two misses.
inline constexpr duration kEntryNotices = std::chrono::milliseconds(2300);
/// Time between two looks at the sessions of a stopping host.
inline constexpr duration kSweepInterval = std::chrono::milliseconds(50);
/// Time between two looks at idle connections.
inline constexpr duration kLinkSweepInterval = std::chrono::milliseconds(150);

template <gateway_platform Platform>
class gateway {
 public:
  using codec = typename Platform::codec;
  /// Reads the settings again.
  using settings_source = std::function<result<gateway_settings>()>;

  gateway(boost::asio::io_context& context, const Platform& platform,
          const gateway_settings& settings, settings_source source,
          std::uint64_t boot)
      : context_(context),
        settings_(settings),
        source_(std::move(source)),
        link_(context, {settings.host, boot, settings.peers}, std::string()),
        state_(context, settings.availability_zone, RateEnvironment()),
        fleet_(platform, state_, link_, settings),
        failover_(platform, state_, fleet_) {}

  /// Opens the ports and starts all work.
  [[nodiscard]] result<void> Start() {
    BOOST_OUTCOME_TRY(boost::asio::ip::tcp::acceptor acceptor,
                      Listen(context_.get_executor(), settings_.callers));
    BOOST_OUTCOME_TRY(link_.Start(
        [this](const message::envelope& received, const std::string& route) {
          fleet_.Handle(received, route);
        }));
    fleet_.Start();
    SpawnWithRestart(
        context_, "accept",
        [this, listening = std::make_shared<boost::asio::ip::tcp::acceptor>(
                   std::move(acceptor))] { return Accept(listening); });
    SpawnWithRestart(context_, "failover", [this] { return failover_.Run(); });
    SpawnWithRestart(context_, "tokens", [this] { return ExchangeTokens(); });
    SpawnWithRestart(context_, "sessions", [this] { return SweepSessions(); });
    SpawnWithRestart(context_, "links", [this] { return SweepLinks(); });
    SpawnWithRestart(context_, "stop", [this] { return StopOnSignal(); });
    SpawnWithRestart(context_, "reload", [this] { return ReloadOnSignal(); });
    return boost::outcome_v2::success();
  }

  /// Tells whether new callers are welcome.
  [[nodiscard]] bool IsReady() const {
    return state_.tables != nullptr && fleet_.HasTargets() &&
           fleet_.Registry().loaded && !state_.draining_since.has_value();
  }

  [[nodiscard]] const gateway_state<codec>& State() const { return state_; }
  [[nodiscard]] const fleet_agent<Platform>& Fleet() const { return fleet_; }
  [[nodiscard]] const gateway_settings& Settings() const { return settings_; }

 private:
  rate_environment RateEnvironment() {
    rate_environment environment;
    environment.host = settings_.host;
    environment.hosts = [this]() -> const std::vector<std::string>& {
      return fleet_.Registry().names;
    };
    environment.sharing = [this]() -> std::uint32_t {
      const host_registry& registry = fleet_.Registry();
      return registry.loaded ? SharingHosts(registry, monotonic_clock::now())
                             : 0;
    };
    environment.send = [this](const std::string& host,
                              message::envelope envelope) {
      fleet_.SendTo(host, std::move(envelope));
    };
    environment.tables = [this] { return state_.tables.get(); };
    return environment;
  }

  boost::asio::awaitable<void> Accept(
      std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor) {
    constexpr duration kPause = std::chrono::milliseconds(10);
    while (true) {
      boost::system::error_code failure;
      stream_socket socket = co_await acceptor->async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      if (failure) {
        Log(log_level::kWarning, "accept_failed",
            {{"reason", failure.message()}});
        co_await Sleep(kPause);
        continue;
      }
      if (state_.tables == nullptr) {
        socket.close(failure);
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      EnableKeepalive(socket);
      const std::shared_ptr<client_session<codec>> session =
          std::make_shared<client_session<codec>>(state_, std::move(socket),
                                                  ++last_session_);
      sessions_.push_back(session);
      Spawn(context_, "session", [session] { return session->Run(); });
    }
  }

  boost::asio::awaitable<void> ExchangeTokens() {
    while (true) {
      co_await Sleep(kExchangeInterval);
      state_.limiter.Tick(monotonic_clock::now());
    }
  }

  boost::asio::awaitable<void> SweepLinks() {
    while (true) {
      co_await Sleep(kLinkSweepInterval);
      for (const std::pair<const std::string,
                           std::shared_ptr<target_group<codec>>>& entry :
           state_.groups) {
        entry.second->Sweep();
      }
    }
  }

  /// Ends sessions that rest, if the host stops or they are not admitted any
  /// more.
  boost::asio::awaitable<void> SweepSessions() {
    std::uint64_t checked_version = 0;
    while (true) {
      co_await Sleep(kSweepInterval);
      std::erase_if(sessions_,
                    [](const std::weak_ptr<client_session<codec>>& session) {
                      return session.expired();
                    });
      const bool changed =
          state_.tables != nullptr && state_.tables->version != checked_version;
      if (!changed && !state_.draining_since.has_value()) {
        continue;
      }
      const time_point now = monotonic_clock::now();
      for (const std::weak_ptr<client_session<codec>>& each : sessions_) {
        const std::shared_ptr<client_session<codec>> session = each.lock();
        if (session != nullptr) {
          session->EndIfResting(now);
        }
      }
      checked_version = state_.tables == nullptr ? 0 : state_.tables->version;
    }
  }

  /// Takes over what may change while the host runs: the time to stop in and
  /// the least level logged. Addresses and names need a new start.
  boost::asio::awaitable<void> ReloadOnSignal() {
    boost::asio::signal_set signals(context_, SIGHUP);
    while (true) {
      boost::system::error_code failure;
      co_await signals.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      const result<gateway_settings> read = source_();
      if (!read) {
        Log(log_level::kError, "settings_unreadable",
            {{"reason", read.error().message}});
        continue;
      }
      settings_.stop_grace = read.value().stop_grace;
      settings_.level = read.value().level;
      SetLogLevel(settings_.level);
      Log(log_level::kInfo, "settings_reloaded", {});
    }
  }

  boost::asio::awaitable<void> StopOnSignal() {
    boost::asio::signal_set signals(context_, SIGTERM, SIGINT);
    boost::system::error_code failure;
    co_await signals.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    const time_point told_at = monotonic_clock::now();
    state_.draining_since = told_at;
    state_.drain_transactions = settings_.stop_grace / 2;
    Log(log_level::kInfo, "stopping",
        {{"sessions", std::to_string(state_.counters.sessions)}});
    Spawn(context_, "leave", [this] { return fleet_.Leave(); });
    const time_point end = told_at + settings_.stop_grace * 4 / 5;
    while (monotonic_clock::now() < end) {
      const bool noticed = monotonic_clock::now() - told_at > kEntryNotices;
      if (noticed && state_.counters.sessions == 0) {
        break;
      }
      co_await Sleep(kSweepInterval);
    }
    Log(log_level::kInfo, "stopped",
        {{"sessions_cut", std::to_string(state_.counters.sessions)}});
    context_.stop();
  }

  boost::asio::io_context& context_;
  gateway_settings settings_;
  settings_source source_;
  peer_link link_;
  gateway_state<codec> state_;
  fleet_agent<Platform> fleet_;
  failover_agent<Platform> failover_;
  std::list<std::weak_ptr<client_session<codec>>> sessions_;
  session_number last_session_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_GATEWAY_H_
