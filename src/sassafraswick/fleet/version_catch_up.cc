#include "sassafraswick/fleet/version_catch_up.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Size of a burst of records after an idle period, in seconds at the permitted
/// rate. A burst of one record is always permitted.
constexpr double kBurstSeconds = 0.1;
constexpr double kBitsPerByte = 8.0;
constexpr double kBitsPerMegabit = 1e6;

}  // namespace

catch_up_step version_catch_up::Next(std::uint64_t announced,
                                     std::uint64_t current, bool watches_store,
                                     time_point now) noexcept {
  const bool caught_up = current != base_version_ || current >= newest_version_;
  newest_version_ = std::max(newest_version_, announced);
  if (announced <= current) {
    // A peer that is behind as well does not reset the timeouts.
    return catch_up_step::kNone;
  }
  if (caught_up) {
    base_version_ = current;
    behind_since_ = now;
    next_request_at_ = watches_store ? now + kWatchGrace : now;
    request_timeout_ = kRecordTimeout;
  }
  if (now - behind_since_ > kStoreFallbackDelay &&
      now - store_read_at_ > kStoreFallbackDelay) {
    store_read_at_ = now;
    return catch_up_step::kReadStore;
  }
  if (now < next_request_at_) {
    return catch_up_step::kNone;
  }
  next_request_at_ = now + request_timeout_;
  request_timeout_ = std::min(request_timeout_ * 2, kMaxRecordTimeout);
  return catch_up_step::kRequestFromPeer;
}

void version_catch_up::OnPeerBusy(duration retry_after,
                                  time_point now) noexcept {
  next_request_at_ = now + std::min(retry_after, kMaxRecordTimeout);
}

double record_rate_limiter::RecordsPerSecond(std::size_t bytes) const noexcept {
  const double record_bits =
      static_cast<double>(std::max<std::size_t>(bytes, 1)) * kBitsPerByte;
  return link_mbps_ * kBitsPerMegabit * kRecordLinkFraction / record_bits;
}

bool record_rate_limiter::TrySend(std::size_t bytes, time_point now) noexcept {
  const double rate = RecordsPerSecond(bytes);
  return TryTakeToken(tokens_, rate, std::max(1.0, rate * kBurstSeconds), now);
}

duration record_rate_limiter::RetryAfter(std::size_t bytes) const noexcept {
  const std::chrono::duration<double> interval(1.0 / RecordsPerSecond(bytes));
  return std::chrono::duration_cast<duration>(interval);
}

}  // namespace sassafraswick
