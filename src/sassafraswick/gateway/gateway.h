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
#include <optional>
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
/// A gateway process: accepts callers and runs the background tasks of a host.

namespace sassafraswick {

/// Interval between checks for sessions that have to be closed.
inline constexpr duration kSessionSweepInterval = std::chrono::milliseconds(50);
/// Interval between checks for idle connections to instances that have to be
/// closed.
inline constexpr duration kIdleConnectionSweepInterval =
    std::chrono::milliseconds(150);

template <gateway_platform Platform>
class gateway {
 public:
  using codec = typename Platform::codec;
  /// Reloads the settings from their source.
  using settings_reader = std::function<result<gateway_settings>()>;

  gateway(boost::asio::io_context& context, const Platform& platform,
          const gateway_settings& settings, settings_reader source,
          std::uint64_t boot)
      : context_(context),
        settings_(settings),
        read_settings_(std::move(source)),
        link_(context, {settings.host, boot, settings.peers}, std::string()),
        state_(context, settings.availability_zone, LimiterEnvironment()),
        fleet_(platform, state_, link_, settings),
        failover_(platform, state_, fleet_) {}

  /// Opens the listening sockets and starts all background tasks.
  [[nodiscard]] result<void> Start() {
    BOOST_OUTCOME_TRY(boost::asio::ip::tcp::acceptor listening,
                      Listen(context_.get_executor(), settings_.callers));
    acceptor_.emplace(std::move(listening));
    BOOST_OUTCOME_TRY(link_.Start(
        [this](const message::envelope& received, const std::string& route) {
          fleet_.HandleMessage(received, route);
        }));
    fleet_.Start();
    SpawnWithRestart(context_, "accept", [this] { return Accept(); });
    SpawnWithRestart(context_, "failover", [this] { return failover_.Run(); });
    SpawnWithRestart(context_, "tokens", [this] { return ExchangeTokens(); });
    SpawnWithRestart(context_, "sessions", [this] { return SweepSessions(); });
    SpawnWithRestart(context_, "links",
                     [this] { return SweepIdleConnections(); });
    SpawnWithRestart(context_, "stop", [this] { return StopOnSignal(); });
    SpawnWithRestart(context_, "reload", [this] { return ReloadOnSignal(); });
    return boost::outcome_v2::success();
  }

  /// Returns whether the host is ready for new callers.
  [[nodiscard]] bool IsReady() const {
    return state_.current_catalog != nullptr && fleet_.HasTargets() &&
           fleet_.Registry().loaded && !state_.shutdown.has_value();
  }

  [[nodiscard]] const gateway_state<codec>& State() const { return state_; }
  [[nodiscard]] const fleet_agent<Platform>& Fleet() const { return fleet_; }
  [[nodiscard]] const gateway_settings& Settings() const { return settings_; }

 private:
  rate_limiter_environment LimiterEnvironment() {
    rate_limiter_environment environment;
    environment.host = settings_.host;
    environment.hosts = [this]() -> const std::vector<std::string>& {
      return fleet_.Registry().names;
    };
    environment.host_count = [this]() -> std::uint32_t {
      const host_registry& registry = fleet_.Registry();
      return registry.loaded
                 ? CountSharingHosts(registry, monotonic_clock::now())
                 : 0;
    };
    environment.send = [this](const std::string& host,
                              message::envelope envelope) {
      fleet_.SendTo(host, std::move(envelope));
    };
    environment.current_catalog = [this] {
      return state_.current_catalog.get();
    };
    return environment;
  }

  boost::asio::awaitable<void> Accept() {
    constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(10);
    while (acceptor_->is_open()) {
      boost::system::error_code failure;
      stream_socket socket = co_await acceptor_->async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      if (!acceptor_->is_open()) {
        break;
      }
      if (failure) {
        Log(log_level::kWarning, "accept_failed",
            {{"reason", failure.message()}});
        co_await Sleep(kAcceptRetryDelay);
        continue;
      }
      if (state_.current_catalog == nullptr) {
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
      state_.limiter.RunScheduledExchange(monotonic_clock::now());
    }
  }

  boost::asio::awaitable<void> SweepIdleConnections() {
    while (true) {
      co_await Sleep(kIdleConnectionSweepInterval);
      for (const std::pair<const std::string,
                           std::shared_ptr<target_group<codec>>>& entry :
           state_.groups) {
        entry.second->Sweep();
      }
      state_.CountHomeConnections();
      fleet_.EndExpiredLeases();
    }
  }

  /// Closes idle sessions when the host stops, or when a new configuration no
  /// longer admits them.
  boost::asio::awaitable<void> SweepSessions() {
    std::uint64_t checked_version = 0;
    while (true) {
      co_await Sleep(kSessionSweepInterval);
      std::erase_if(sessions_,
                    [](const std::weak_ptr<client_session<codec>>& session) {
                      return session.expired();
                    });
      const bool changed = state_.current_catalog != nullptr &&
                           state_.current_catalog->version != checked_version;
      if (!changed && !state_.shutdown.has_value()) {
        continue;
      }
      const time_point now = monotonic_clock::now();
      for (const std::weak_ptr<client_session<codec>>& each : sessions_) {
        const std::shared_ptr<client_session<codec>> session = each.lock();
        if (session != nullptr) {
          session->CloseIfIdle(now);
        }
      }
      checked_version = state_.current_catalog == nullptr
                            ? 0
                            : state_.current_catalog->version;
    }
  }

  /// On SIGHUP, applies the settings that may change at run time: the shutdown
  /// time and the log level. Addresses and names require a restart.
  boost::asio::awaitable<void> ReloadOnSignal() {
    boost::asio::signal_set signals(context_, SIGHUP);
    while (true) {
      boost::system::error_code failure;
      co_await signals.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      const result<gateway_settings> read = read_settings_();
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

  /// Closes the listening socket, so that callers are refused and turn to
  /// another host.
  void StopAccepting() {
    boost::system::error_code ignored;
    acceptor_->close(ignored);
  }

  /// Carries out the current phase of the shutdown.
  /// @return Whether the process may end.
  [[nodiscard]] bool HasShutDown() {
    const shutdown_phase phase =
        state_.shutdown->PhaseAt(monotonic_clock::now());
    if (phase >= shutdown_phase::kFinishing) {
      StopAccepting();
    }
    const gateway_counters& counters = state_.counters;
    switch (phase) {
      case shutdown_phase::kClosingIdle:
        return false;
      case shutdown_phase::kClosingAll:
      case shutdown_phase::kFinishing:
        return counters.sessions == 0 && counters.present_leases == 0;
      case shutdown_phase::kEnding:
        return counters.statements_in_flight == 0;
      case shutdown_phase::kOver:
        return true;
    }
    return true;
  }

  boost::asio::awaitable<void> StopOnSignal() {
    boost::asio::signal_set signals(context_, SIGTERM, SIGINT);
    boost::system::error_code failure;
    co_await signals.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    state_.shutdown.emplace(monotonic_clock::now(), settings_.stop_grace);
    Log(log_level::kInfo, "stopping",
        {{"sessions", std::to_string(state_.counters.sessions)}});
    Spawn(context_, "leave", [this] { return fleet_.Leave(); });
    while (!HasShutDown()) {
      co_await Sleep(kSessionSweepInterval);
    }
    Log(log_level::kInfo, "stopped",
        {{"sessions_cut", std::to_string(state_.counters.sessions)},
         {"statements_cut",
          std::to_string(state_.counters.statements_in_flight)}});
    context_.stop();
  }

  boost::asio::io_context& context_;
  gateway_settings settings_;
  settings_reader read_settings_;
  peer_link link_;
  gateway_state<codec> state_;
  fleet_agent<Platform> fleet_;
  failover_agent<Platform> failover_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::list<std::weak_ptr<client_session<codec>>> sessions_;
  session_number last_session_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_GATEWAY_H_
