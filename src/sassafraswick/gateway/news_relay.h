#ifndef SASSAFRASWICK_GATEWAY_NEWS_RELAY_H_
#define SASSAFRASWICK_GATEWAY_NEWS_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/store_change_log.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// How a host that follows the store tells others of changes.

namespace sassafraswick {

/// What the relayed prefixes were read up to, and when that was confirmed.
struct news_state {
  std::int64_t revision = 0;
  time_point confirmed_at;
};

class news_relay {
 public:
  /// Sends a message over the connection by which a question came.
  using answer_function =
      std::function<void(const std::string& route, message::envelope envelope)>;

  explicit news_relay(answer_function answer) : answer_(std::move(answer)) {}

  /// Changes that hosts are told of.
  [[nodiscard]] store_change_log& Changes() noexcept { return log_; }

  /// Answers a host that does not follow the store, and remembers it.
  void Handle(const std::string& from, const std::string& route,
              const message::news_request& request, const news_state& known);

  /// Tells hosts that asked lately of changes. Every message names the version
  /// of the configuration.
  /// @param version_rose Tell all, also if there are no other changes.
  void TellAll(bool version_rose, const news_state& known);

 private:
  /// A host that asks this one.
  struct subscriber {
    std::string route;
    std::int64_t revision = 0;
    std::uint64_t stamp = 0;
    time_point asked_at;
  };

  void Tell(subscriber& to, const news_state& known);

  answer_function answer_;
  store_change_log log_;
  std::map<std::string, subscriber> subscribers_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_NEWS_RELAY_H_
