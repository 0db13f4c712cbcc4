#ifndef SASSAFRASWICK_LIMITS_IDLE_SHARE_H_
#define SASSAFRASWICK_LIMITS_IDLE_SHARE_H_

#include <cstdint>
#include <string_view>

#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/token_exchange.h"
#include "sassafraswick/limits/token_grant.h"

/// @file
/// Shares of rates that a host did not use, handed to banks all at once.
///
/// A host keeps an account only for organisations that lately called it. Of all
/// others it tells the banks, in one message of constant size, how long it left
/// its shares unused. A bank runs a clock for each shard of organisations,
/// which these messages advance, and refills its buckets by that clock. A host
/// gives away only time that has passed and that it did not use, so the sum
/// over all hosts never passes the rate; a lost message loses tokens.

namespace sassafraswick {

/// Shards of organisations, as many as bits in a message's set.
inline constexpr std::uint32_t kRateShardCount = 64;

/// Shard of an organisation; equal on all hosts.
[[nodiscard]] std::uint32_t RateShard(std::string_view organisation);

/// Time of a shard that a bank may use: one second for each second in which no
/// host used its own share.
struct share_clock {
  double seconds = 0.0;
  time_point last_message_at;
  /// Counts the spans in which hosts used this bank without a pause.
  std::uint64_t term = 0;
  /// Reading at which the span began.
  double term_start_seconds = 0.0;
};

/// Silence after which a bank's tokens are void. All hosts tell a bank of their
/// shares every second; one that heard nothing was frozen or passed over, and
/// the hosts went on with tokens of another.
inline constexpr duration kSharedBucketExpiry = std::chrono::milliseconds(3000);

/// Notes that a host used this bank for a shard.
void RecordMessage(share_clock& clock, time_point now) noexcept;

/// Longest time that one message hands over. A host that was suspended for
/// longer loses the rest.
inline constexpr duration kMaxIdleTimePerMessage =
    std::chrono::milliseconds(1500);

/// Time between two messages about idle shares. Grows with the fleet, so that a
/// bank hears a constant number a second, up to the time that a burst allows.
[[nodiscard]] duration IdleShareInterval(std::uint32_t hosts) noexcept;

/// Advances a shard's clock by what one host left unused.
/// @param hosts Hosts among which the sender shares rates.
void AddIdleTime(share_clock& clock, duration time, std::uint32_t hosts);

/// Refills a bank's bucket by its shard's clock.
void RefillSharedBucket(shared_rate_bucket& bucket, const share_clock& clock,
                        const rate_limit& limit, double cap);

/// Leaves time out that has just been added to the clock, because its sender
/// used its share of this organisation. The bucket was credited before.
void SkipIdleTime(shared_rate_bucket& bucket,
                  const share_clock& clock) noexcept;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_IDLE_SHARE_H_
