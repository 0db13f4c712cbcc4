#ifndef SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_
#define SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_

#include <cstdint>

#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/token_grant.h"

/// @file
/// Rate limit of an organisation over the fleet, without a coordinator.
///
/// Each host fills a local bucket at an equal share of the rate, so the sum
/// never exceeds the limit, whichever hosts are partitioned. Hosts deposit
/// surplus tokens in a shared bucket at the hub that the organisation's name
/// selects; hosts with more demand withdraw from it. A lost message loses
/// tokens but never creates any, and a failed hub loses only the tokens that it
/// held.
///
/// The local buckets may hold half of the burst and the shared bucket the other
/// half. In a large fleet, where few hosts have a local bucket, the shared
/// bucket may hold the whole burst. Tokens that were withdrawn and not yet
/// spent come on top, up to `kPrefetchHorizon` of the demand.

namespace sassafraswick {

/// Time ahead for whose expected demand a host holds withdrawn tokens. Two
/// exchange intervals, so that one lost response does not make callers wait.
inline constexpr duration kPrefetchHorizon = std::chrono::milliseconds(200);

/// Time whose tokens a starting host receives at once. The previous process
/// lost at least as many when it ended, because a restart takes half a second
/// or more.
inline constexpr duration kStartupCredit = std::chrono::milliseconds(400);

/// Interval of a host's regular exchanges with a shared bucket.
inline constexpr duration kExchangeInterval = std::chrono::milliseconds(100);

/// One organisation's token bucket at one host.
struct local_rate_bucket {
  double level = 0.0;
  time_point refilled_at;
  /// Smoothed demand in tokens per second.
  double demand = 0.0;
  time_point demand_at;
  /// Requests that wait for a token.
  std::uint32_t waiting = 0;
  /// Time until which the shared bucket is assumed to be empty.
  time_point shared_bucket_empty_until;
};

/// A host's request to a shared bucket, in tokens.
struct token_transfer {
  double deposit = 0.0;
  double wanted = 0.0;
};

/// One organisation's token bucket at a hub.
struct shared_rate_bucket {
  double level = 0.0;
  /// Reading of the shard's clock at the last refill.
  double refilled_to_seconds = 0.0;
  /// Period of the shard's clock at the last refill.
  std::uint64_t refilled_period = 0;
};

/// Fleet size from which a shared bucket may hold the whole burst.
inline constexpr std::uint32_t kSharedFullBurstMinHosts = 16;

/// Adds the tokens that accrued since the last refill.
/// @param hosts Number of hosts that share the rate, at least 1.
void RefillLocalBucket(local_rate_bucket& bucket, const rate_limit& limit,
                       std::uint32_t hosts, time_point now);

/// Adds one request to the smoothed demand.
void RecordDemand(local_rate_bucket& bucket, time_point now);

/// Spends one token if available.
[[nodiscard]] bool TrySpendToken(local_rate_bucket& bucket);

/// Returns the token of a request that was not run.
void RefundToken(local_rate_bucket& bucket);

/// Determines the next transfer and removes its deposit from the local bucket.
[[nodiscard]] token_transfer PlanTransfer(local_rate_bucket& bucket,
                                          const rate_limit& limit,
                                          std::uint32_t hosts, time_point now);

/// Returns the maximum number of tokens in a shared bucket.
[[nodiscard]] double SharedBucketCapacity(const rate_limit& limit,
                                          std::uint32_t hosts);

/// Applies a host's transfer to the shared bucket.
/// @param cap Maximum number of tokens in the bucket.
/// @return Tokens granted to the requesting host.
[[nodiscard]] double ServeTransfer(shared_rate_bucket& bucket, double cap,
                                   const token_transfer& transfer);

/// Adds tokens to a shared bucket, up to `cap`.
void AddToSharedBucket(shared_rate_bucket& bucket, double cap, double tokens);

/// Returns whether a host may drop a local bucket: no request waits, and the
/// demand has decayed.
[[nodiscard]] bool IsIdle(const local_rate_bucket& bucket, time_point now);

/// Estimates from the organisation's whole rate when a rejected caller may find
/// a token.
/// @param ahead Number of requests that already wait for a token.
[[nodiscard]] duration EstimatedRetryDelay(const rate_limit& limit,
                                           std::uint32_t ahead);

/// Returns the time until a host's own share of the rate yields a token.
[[nodiscard]] duration TimeToNextToken(const local_rate_bucket& bucket,
                                       const rate_limit& limit,
                                       std::uint32_t hosts);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_
