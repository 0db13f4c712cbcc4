#ifndef SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_
#define SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/store_change_log.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// Forwards store changes from a relay host to the hosts that poll it.

namespace sassafraswick {

/// Revision up to which the relayed prefixes were applied, and the last time at
/// which the store was known to have nothing newer.
struct watch_progress {
  store_revision revision;
  time_point confirmed_at;
};

/// Sends changes to subscribed hosts.
class change_relay {
 public:
  /// Sends a message over the connection on which a request arrived.
  using respond_function =
      std::function<void(const std::string& route, message::envelope envelope)>;

  explicit change_relay(respond_function respond)
      : respond_(std::move(respond)) {}

  /// Log of the changes to forward.
  [[nodiscard]] store_change_log& Changes() noexcept { return log_; }

  /// Responds to a host that polls for changes, and subscribes it to further
  /// ones.
  void HandleRequest(const std::string& from, const std::string& route,
                     const message::news_request& request,
                     const watch_progress& progress);

  /// Sends new changes to all hosts that polled recently. Every message carries
  /// the version of the configuration.
  /// @param configuration_changed Send to every subscriber, even if there are
  /// no other changes.
  void NotifySubscribers(bool configuration_changed,
                         const watch_progress& progress);

 private:
  /// A host that polls this one for changes.
  struct subscriber {
    std::string route;
    store_revision revision;
    std::uint64_t stamp = 0;
    time_point last_request_at;
  };

  void Notify(subscriber& receiver, const watch_progress& progress);

  respond_function respond_;
  store_change_log log_;
  std::map<std::string, subscriber> subscribers_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CHANGE_RELAY_H_
