#ifndef SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_
#define SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_

#include <cstdint>

#include "sassafraswick/core/pace.h"
#include "sassafraswick/core/time.h"

/// @file
/// How a new configuration spreads over a fleet. Hosts ask the peer that
/// names a newer version, and only if peers do not help the store: a document
/// of some hundred kilobytes, read by every host at once, fills its link.

namespace sassafraswick {

enum class catch_up_step : std::uint8_t { kNone, kAskPeer, kReadStore };

/// Time that the store's own news may take to a host that watches it, before
/// a peer is asked for the same document.
inline constexpr duration kWatchGrace = std::chrono::milliseconds(200);
/// Time for a peer's answer, doubled up to the limit: a large record takes
/// 100 ms over a link of 20 Mbit/s, and longer beside the work of callers.
inline constexpr duration kRecordTimeout = std::chrono::milliseconds(300);
inline constexpr duration kMaxRecordTimeout = std::chrono::milliseconds(1200);
/// Time without the version, though peers were asked, after which the store is
/// asked as well. The users give a configuration 3 s.
inline constexpr duration kStoreFallbackDelay = std::chrono::milliseconds(1000);

/// Catches up with the newest version of a document.
class version_catch_up {
 public:
  /// A peer named a version.
  /// @param watches The host follows the store itself.
  [[nodiscard]] catch_up_step Next(std::uint64_t announced,
                                   std::uint64_t current, bool watches_store,
                                   time_point now) noexcept;

  /// The asked peer has spent its share of its link.
  void OnPeerBusy(duration retry_after, time_point now) noexcept;

 private:
  /// Own version since which the host has been behind, and the newest heard of.
  std::uint64_t base_version_ = 0;
  std::uint64_t newest_version_ = 0;
  time_point behind_since_;
  time_point ask_at_;
  duration answer_timeout_ = kRecordTimeout;
  time_point store_read_at_;
};

/// Share of its link that a host spends on records for peers. The rest is for
/// callers.
inline constexpr double kRecordLinkFraction = 0.25;

/// Decides how many records a host sends its peers.
class record_rate_limiter {
 public:
  explicit record_rate_limiter(double link_mbps) noexcept
      : link_mbps_(link_mbps) {}

  /// Tells whether a record may be sent now, and counts it.
  [[nodiscard]] bool TrySend(std::size_t bytes, time_point now) noexcept;

  /// Time in which one more record may be sent.
  [[nodiscard]] duration RetryAfter(std::size_t bytes) const noexcept;

 private:
  [[nodiscard]] double RecordsPerSecond(std::size_t bytes) const noexcept;

  double link_mbps_;
  pace tokens_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_
