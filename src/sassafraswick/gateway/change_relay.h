#ifndef SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_
#define SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/news_log.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// How a host that follows the store tells others of changes.

namespace sassafraswick {

/// What the relayed prefixes were read up to, and when that was confirmed.
struct watch_progress {
  std::int64_t revision = 0;
  time_point confirmed_at;
};

class change_relay {
 public:
  /// Sends a message over the connection by which a question came.
  using answer_function =
      std::function<void(const std::string& route, message::envelope envelope)>;

  explicit change_relay(answer_function answer) : answer_(std::move(answer)) {}

  /// Changes that hosts are told of.
  [[nodiscard]] news_log& Changes() noexcept { return log_; }

  /// Answers a host that does not follow the store, and remembers it.
  void HandleRequest(const std::string& from, const std::string& route,
                     const message::news_request& request,
                     const watch_progress& progress);

  /// Tells hosts that asked lately of changes. Every message names the version
  /// of the configuration.
  /// @param configuration_changed Tell all, also if there are no other changes.
  void NotifySubscribers(bool configuration_changed,
                         const watch_progress& progress);

 private:
  /// A host that asks this one.
  struct subscriber {
    std::string route;
    std::int64_t revision = 0;
    std::uint64_t stamp = 0;
    time_point last_request_at;
  };

  void Notify(subscriber& receiver, const watch_progress& progress);

  answer_function answer_;
  news_log log_;
  std::map<std::string, subscriber> subscribers_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_
