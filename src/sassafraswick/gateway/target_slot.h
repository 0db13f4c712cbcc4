#ifndef SASSAFRASWICK_GATEWAY_TARGET_SLOT_H_
#define SASSAFRASWICK_GATEWAY_TARGET_SLOT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/consistency/replica_progress.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/gateway/target_link.h"
#include "sassafraswick/limits/connection_share.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// One instance at one host: what it said of itself, the connections to it and
/// how it fares. Times that govern connections and questions stand here too.

namespace sassafraswick {

/// Time for opening a connection; a handshake takes 14 ms when a slot is free.
inline constexpr duration kOpenLimit = std::chrono::milliseconds(400);
/// Time for a question of this host to an instance.
inline constexpr duration kAskLimit = std::chrono::milliseconds(400);
/// Time after a failed proof before the next one.
inline constexpr duration kProofRetry = std::chrono::milliseconds(30);
/// Longest wait for another host's proof before the instances are asked. Hosts
/// look at their links every 50 ms at the latest.
inline constexpr duration kPeerProofLimit = std::chrono::milliseconds(80);
/// Rounds in which only the host that gathers proofs is asked who leads: all
/// hosts of a large fleet at once are more than an instance's connections.
inline constexpr int kHomeRounds = 4;
/// Age up to which the gathering host passes a proof on.
inline constexpr duration kSharedProofAge = std::chrono::milliseconds(120);
/// Time for which an instance is spared after a failure.
inline constexpr duration kAvoidTime = std::chrono::milliseconds(250);
/// Time after which an instance that is no longer listed is forgotten. Until
/// then a promotion has to reckon with its log.
inline constexpr duration kForgetAfter = std::chrono::seconds(10);
/// Rest after which a connection is closed where an instance has not one for
/// each host.
inline constexpr duration kBriefRest = std::chrono::milliseconds(300);
/// Time for which no connection is opened to an instance that was at its cap.
inline constexpr duration kFullPause = std::chrono::milliseconds(120);

/// An instance and this host's connections to it.
template <session_codec Codec>
struct target_slot {
  explicit target_slot(const boost::asio::any_io_executor& executor)
      : freed(executor) {}

  target_record record;
  bool listed = true;
  time_point unlisted_at;
  std::vector<std::shared_ptr<target_link<Codec>>> idle;
  std::uint32_t busy = 0;
  std::uint32_t opening = 0;
  connect_rate_limiter pace;
  async_event freed;
  time_point avoid_until;
  /// The instance had no room for a connection.
  time_point full_until;
  /// How far it was behind when it answered last.
  replica_progress progress;
  duration latency = duration::zero();
  /// When any answer of the instance arrived last.
  time_point answered_at;
  instance_health health;

  /// Order in which instances began to claim that they lead.
  std::uint64_t claim = 0;

  [[nodiscard]] bool IsUsable() const { return listed && !record.leaving; }

  /// Gave no answer lately. After a pause one request at a time tries again.
  [[nodiscard]] bool IsSuspect(time_point now) const {
    return health.silent_since.has_value() &&
           (now < avoid_until || busy + opening > 0);
  }
};

/// A connection for one operation.
template <session_codec Codec>
struct link_lease {
  std::shared_ptr<target_slot<Codec>> slot;
  std::shared_ptr<target_link<Codec>> link;
  /// Why there is no link.
  failure_code failure = failure_code::kNone;
  /// Time until the outcome.
  duration waited = duration::zero();
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_SLOT_H_
