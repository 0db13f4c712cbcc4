#include "sassafraswick/limits/idle_share.h"

#include <xxhash.h>

#include <algorithm>

namespace sassafraswick {
namespace {

/// Interval between two reports, per host of the fleet: a hub receives 250
/// reports per second from a fleet of 25 to 250 hosts.
constexpr duration kIntervalPerHost = std::chrono::milliseconds(4);
/// Maximum interval between two reports. Bursts are one second of the rate in
/// the deployment's requirements.
constexpr duration kMaxInterval = std::chrono::milliseconds(1000);
/// Maximum delay of a starting host's first report.
constexpr duration kMaxFirstReportDelay = std::chrono::milliseconds(200);

}  // namespace

std::uint32_t RateShard(std::string_view organisation) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(organisation.data(), organisation.size()) % kRateShardCount);
}

duration IdleShareInterval(std::uint32_t hosts) noexcept {
  return std::clamp(kIntervalPerHost * static_cast<std::int64_t>(hosts),
                    kExchangeInterval, kMaxInterval);
}

duration FirstReportDelay(std::uint64_t hash) noexcept {
  return duration(static_cast<duration::rep>(
      hash % static_cast<std::uint64_t>(kMaxFirstReportDelay.count())));
}

void AddIdleTime(share_clock& clock, duration time, std::uint32_t hosts) {
  const duration counted =
      std::clamp(time, duration::zero(), kMaxIdleTimePerMessage);
  clock.seconds += std::chrono::duration<double>(counted).count() /
                   std::max<std::uint32_t>(hosts, 1);
}

void RecordMessage(share_clock& clock, time_point now) noexcept {
  if (now - clock.last_message_at > kSharedBucketExpiry) {
    ++clock.period;
    clock.period_start_seconds = clock.seconds;
  }
  clock.last_message_at = now;
}

void RefillSharedBucket(shared_rate_bucket& bucket, const share_clock& clock,
                        const rate_limit& limit, double cap) {
  if (bucket.refilled_period != clock.period) {
    bucket = shared_rate_bucket{0.0, clock.period_start_seconds, clock.period};
  }
  const double accrued = (clock.seconds - bucket.refilled_to_seconds) *
                         static_cast<double>(limit.rate);
  bucket.refilled_to_seconds = clock.seconds;
  AddToSharedBucket(bucket, cap, accrued);
}

void SkipIdleTime(shared_rate_bucket& bucket,
                  const share_clock& clock) noexcept {
  bucket.refilled_to_seconds = clock.seconds;
}

}  // namespace sassafraswick
