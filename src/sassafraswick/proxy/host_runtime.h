#ifndef SASSAFRASWICK_PROXY_HOST_RUNTIME_H_
#define SASSAFRASWICK_PROXY_HOST_RUNTIME_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sassafraswick/config/configuration.h"
#include "sassafraswick/config/settings.h"
#include "sassafraswick/consistency/token.h"
#include "sassafraswick/limits/caller_limits.h"
#include "sassafraswick/limits/memory_budget.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/membership.h"
#include "sassafraswick/proxy/limit_service.h"
#include "sassafraswick/proxy/metrics.h"
#include "sassafraswick/proxy/target_pool.h"
#include "sassafraswick/routing/attempt.h"

/// @file
/// The state of one daemon. All of it is used from a single thread.

namespace sassafraswick {

class caller_session;

/// State shared by the sessions, pools and services of a host.
class host_runtime {
 public:
  /// @param boot Start number; each restart of the host has a higher one.
  /// @param send Sends a message to the named host.
  host_runtime(boost::asio::io_context& context, daemon_settings settings,
               std::uint64_t boot,
               std::function<void(const std::string&, message::envelope)> send);

  /// Applies a configuration if its version is newer than the current one.
  /// @return True if it was applied.
  bool Apply(std::shared_ptr<const configuration> candidate);

  /// The current configuration; null until the first one has arrived.
  [[nodiscard]] const std::shared_ptr<const configuration>& Configuration()
      const noexcept {
    return configuration_;
  }

  /// Finds a pool by name; null if there is none.
  [[nodiscard]] std::shared_ptr<target_pool> FindPool(
      std::string_view name) const;

  /// Registers a session, which must call `Unregister` before it is destroyed.
  session_number Register(const std::shared_ptr<caller_session>& session);
  void Unregister(session_number id);

  /// Rejects new callers and closes each session once it is idle.
  void Drain();

  /// Closes sessions whose timeout expired or whose key cannot be checked.
  /// Called every second.
  void CheckSessionTimeouts();

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return context_; }
  [[nodiscard]] const daemon_settings& Settings() const noexcept {
    return settings_;
  }
  [[nodiscard]] const token_codec& Tokens() const noexcept { return tokens_; }
  [[nodiscard]] retry_budget& Retries() noexcept { return retries_; }
  [[nodiscard]] host_metrics& Metrics() noexcept { return metrics_; }
  [[nodiscard]] membership& Fleet() noexcept { return fleet_; }
  [[nodiscard]] limit_service& Limits() noexcept { return limits_; }
  /// Records that another host receives responses from a pool's primary.
  void RecordPrimaryReachable(const std::string& pool, time_point now) {
    primary_reachable_at_[pool] = now;
  }
  /// Records that the store responded.
  void RecordStoreContact(time_point now) { last_contact_at_ = now; }
  /// Returns whether this host may have missed the withdrawal of a key because
  /// it has reached neither the store nor a majority of the fleet for too long.
  [[nodiscard]] bool IsIsolated(time_point now) const;
  [[nodiscard]] bool IsDraining() const noexcept { return draining_; }
  /// What the sessions hold for their callers.
  [[nodiscard]] memory_budget& Held() noexcept { return held_; }
  /// Closes sessions until the others are within the budget.
  void CloseExcess();
  /// Returns whether a new session is within the limit.
  [[nodiscard]] bool HasRoomForSession() const noexcept {
    return sessions_.size() < bounds_.max_sessions;
  }
  [[nodiscard]] std::size_t SessionCount() const noexcept {
    return sessions_.size();
  }
  /// TLS context for connections from callers; null without a certificate.
  [[nodiscard]] boost::asio::ssl::context* Tls() noexcept {
    return tls_.has_value() ? &*tls_ : nullptr;
  }
  [[nodiscard]] const std::map<std::string, std::shared_ptr<target_pool>,
                               std::less<>>&
  Pools() const noexcept {
    return pools_;
  }
  /// Loads the TLS certificate and key named in the settings, if any.
  [[nodiscard]] result<void> LoadTls();

 private:
  void UpdatePools();
  [[nodiscard]] pool_environment MakeEnvironment();

  boost::asio::io_context& context_;
  daemon_settings settings_;
  token_codec tokens_;
  std::shared_ptr<const configuration> configuration_;
  std::map<std::string, std::shared_ptr<target_pool>, std::less<>> pools_;
  std::unordered_map<session_number, std::weak_ptr<caller_session>> sessions_;
  session_number next_session_ = 1;
  retry_budget retries_;
  host_metrics metrics_;
  membership fleet_;
  limit_service limits_;
  std::map<std::string, time_point, std::less<>> primary_reachable_at_;
  time_point last_contact_at_;
  std::optional<boost::asio::ssl::context> tls_;
  caller_bounds bounds_;
  memory_budget held_;
  bool draining_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_HOST_RUNTIME_H_
