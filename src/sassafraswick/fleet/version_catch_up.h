#ifndef SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_
#define SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_

#include <cstdint>

#include "sassafraswick/core/simple_token_bucket.h"
#include "sassafraswick/core/time.h"

/// @file
/// Distribution of a new configuration in a fleet. A host requests it from the
/// peer that announces a newer version, and reads it from the store only if
/// peers do not deliver it: concurrent reads of a record of some hundred
/// kilobytes by all hosts would saturate the store's link.

namespace sassafraswick {

enum class catch_up_step : std::uint8_t { kNone, kRequestFromPeer, kReadStore };

/// Time for which a host that watches the store waits for the store to deliver
/// a newer record before it requests that from a peer.
inline constexpr duration kWatchGrace = std::chrono::milliseconds(200);
/// Timeout of a request to a peer, doubled after each request up to the
/// maximum. A large record takes 100 ms over a link of 20 Mbit/s, and longer
/// beside callers' traffic.
inline constexpr duration kRecordTimeout = std::chrono::milliseconds(300);
inline constexpr duration kMaxRecordTimeout = std::chrono::milliseconds(1200);
/// Time without success at peers after which the store is read as well. The
/// deployment's requirements allow 3 s to apply a configuration.
inline constexpr duration kStoreFallbackDelay = std::chrono::milliseconds(1000);

/// Decides where a host obtains the newest version of a record.
class version_catch_up {
 public:
  /// Determines the next step after a peer announced its version.
  /// @param announced The peer's version.
  /// @param current This host's version.
  /// @param watches_store This host watches the store itself.
  [[nodiscard]] catch_up_step Next(std::uint64_t announced,
                                   std::uint64_t current, bool watches_store,
                                   time_point now) noexcept;

  /// Schedules the next request after a peer rejected one, because it had used
  /// up its link share for records.
  void OnPeerBusy(duration retry_after, time_point now) noexcept;

 private:
  /// Version that this host had when it fell behind, and the newest announced
  /// one.
  std::uint64_t base_version_ = 0;
  std::uint64_t newest_version_ = 0;
  time_point behind_since_;
  time_point next_request_at_;
  duration request_timeout_ = kRecordTimeout;
  time_point store_read_at_;
};

/// Fraction of its link that a host uses to send records to peers. The rest is
/// left to callers.
inline constexpr double kRecordLinkFraction = 0.25;

/// Limits the rate at which a host sends records to its peers.
class record_rate_limiter {
 public:
  explicit record_rate_limiter(double link_mbps) noexcept
      : link_mbps_(link_mbps) {}

  /// Returns whether a record may be sent now, and counts it if so.
  [[nodiscard]] bool TrySend(std::size_t bytes, time_point now) noexcept;

  /// Returns the interval at which records may be sent.
  [[nodiscard]] duration RetryAfter(std::size_t bytes) const noexcept;

 private:
  [[nodiscard]] double RecordsPerSecond(std::size_t bytes) const noexcept;

  double link_mbps_;
  simple_token_bucket tokens_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_VERSION_CATCH_UP_H_
