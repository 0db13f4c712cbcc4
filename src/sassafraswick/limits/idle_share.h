#ifndef SASSAFRASWICK_LIMITS_IDLE_SHARE_H_
#define SASSAFRASWICK_LIMITS_IDLE_SHARE_H_

#include <cstdint>
#include <string_view>

#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/token_exchange.h"
#include "sassafraswick/limits/token_grant.h"

/// @file
/// Transfers a host's unused shares of rates to the shared buckets in bulk.
///
/// A host keeps a local bucket only for organisations that called it recently.
/// For all others it reports to the hubs, in one message of constant size, for
/// how long it left its shares unused. A hub keeps a clock for each shard of
/// organisations, which these messages advance, and refills its shared buckets
/// by that clock. A host reports only time that has passed and that it did not
/// use, so the sum over all hosts never exceeds the rate. A lost message loses
/// tokens.

namespace sassafraswick {

/// Number of rate shards, the shards of organisations: the bits of the set in a
/// message.
inline constexpr std::uint32_t kRateShardCount = 64;

/// Returns the rate shard of an organisation, which is the same on all hosts.
/// Rate shards are independent of grantor shards.
[[nodiscard]] std::uint32_t RateShard(std::string_view organisation);

/// Clock of a shard at a hub. Advances by one second for each second in which
/// no host used its own share.
struct share_clock {
  double seconds = 0.0;
  time_point last_message_at;
  /// Number of the period in which hosts used this hub without interruption.
  std::uint64_t period = 0;
  /// Clock reading at the start of the period.
  double period_start_seconds = 0.0;
};

/// Time without messages after which the tokens of a shared bucket are void.
/// All hosts report their idle shares to a hub at least every second. A hub
/// that received nothing was frozen or bypassed, and the hosts used tokens of
/// another hub meanwhile.
inline constexpr duration kSharedBucketExpiry = std::chrono::milliseconds(3000);

/// Records that a host used this hub for a shard; starts a new period after
/// `kSharedBucketExpiry` without messages.
void RecordMessage(share_clock& clock, time_point now) noexcept;

/// Maximum idle time that one message transfers. A host that was suspended for
/// longer loses the rest.
inline constexpr duration kMaxIdleTimePerMessage =
    std::chrono::milliseconds(1500);

/// Returns the interval between two reports of idle shares. It grows with the
/// fleet, so that a hub receives a constant number of reports per second, up to
/// the longest interval that bursts allow.
[[nodiscard]] duration IdleShareInterval(std::uint32_t hosts) noexcept;

/// Returns the delay of a starting host's first report. The reports of hosts
/// that start together are spread, but not over a whole interval: until they
/// arrive, the shared buckets are empty.
/// @param hash Hash of the host's name.
[[nodiscard]] duration FirstReportDelay(std::uint64_t hash) noexcept;

/// Advances a shard's clock by the time for which one host left its share
/// unused.
/// @param hosts Number of hosts that share the rates, as known to the sender.
void AddIdleTime(share_clock& clock, duration time, std::uint32_t hosts);

/// Refills a shared bucket by its shard's clock. A bucket of an earlier period
/// starts empty.
/// @param cap Maximum number of tokens in the bucket.
void RefillSharedBucket(shared_rate_bucket& bucket, const share_clock& clock,
                        const rate_limit& limit, double cap);

/// Excludes the time that was just added to the clock, because its sender used
/// its share of this organisation. Requires that the bucket was refilled before
/// the time was added.
void SkipIdleTime(shared_rate_bucket& bucket,
                  const share_clock& clock) noexcept;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_IDLE_SHARE_H_
