#include "sassafraswick/limits/token_exchange.h"

#include <algorithm>
#include <cmath>

namespace sassafraswick {
namespace {

/// Demand, in tokens per second, below which no tokens are prefetched.
constexpr double kMinDemandPerSecond = 0.05;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 1.0;
/// Fraction of the burst that the local buckets may hold together. In a small
/// fleet the shared bucket may hold the rest.
constexpr double kLocalBurstFraction = 0.5;
/// Smallest deposit that is worth a message, in tokens and as a fraction of the
/// local bucket's share of the burst.
constexpr double kMinDepositTokens = 0.5;
constexpr double kMinDepositFraction = 0.25;

double Seconds(boot_clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

double LocalRate(const rate_limit& limit, std::uint32_t hosts) {
  return static_cast<double>(limit.rate) / std::max<std::uint32_t>(hosts, 1);
}

double LocalBurstShare(const rate_limit& limit, std::uint32_t hosts) {
  return kLocalBurstFraction * limit.burst / std::max<std::uint32_t>(hosts, 1);
}

/// Returns the tokens to hold: the expected demand, its square root to cover
/// random variation, and one for the next request. If one token for each host
/// would exceed the burst, a host holds only whole tokens that it will surely
/// use: requests that wait at other hosts would lack the rest.
double PrefetchTokens(const local_rate_bucket& bucket, const rate_limit& limit,
                      std::uint32_t hosts) {
  if (bucket.demand < kMinDemandPerSecond) {
    return 0.0;
  }
  const double expected = bucket.demand * Seconds(kPrefetchHorizon);
  const bool one_for_each = 2.0 * LocalBurstShare(limit, hosts) >= 1.0;
  return one_for_each ? expected + std::sqrt(expected) + 1.0
                      : std::floor(expected);
}

double MinDeposit(const rate_limit& limit, std::uint32_t hosts) {
  // In a large fleet, a minimum of half a token would leave more tokens in the
  // local buckets than the burst allows.
  const double cap = LocalBurstShare(limit, hosts);
  return std::max(std::min(kMinDepositTokens, cap), kMinDepositFraction * cap);
}

/// Decays the smoothed demand to the current time.
void DecayDemand(local_rate_bucket& bucket, time_point now) {
  const double elapsed = Seconds(now - bucket.demand_at);
  bucket.demand *=
      std::exp(-std::max(elapsed, 0.0) / kDemandTimeConstantSeconds);
  bucket.demand_at = now;
}

}  // namespace

void RefillLocalBucket(local_rate_bucket& bucket, const rate_limit& limit,
                       std::uint32_t hosts, time_point now) {
  if (bucket.refilled_at == time_point()) {
    bucket.refilled_at = now - kStartupCredit;
  }
  const double accrued =
      Seconds(now - bucket.refilled_at) * LocalRate(limit, hosts);
  bucket.refilled_at = now;
  // Room for the prefetched tokens and for one deposit, so that no token is
  // lost between two exchanges.
  const double cap = std::max(
      LocalBurstShare(limit, hosts),
      PrefetchTokens(bucket, limit, hosts) + 2.0 * MinDeposit(limit, hosts));
  if (bucket.level < cap) {
    bucket.level = std::min(cap, bucket.level + accrued);
  }
}

void RecordDemand(local_rate_bucket& bucket, time_point now) {
  DecayDemand(bucket, now);
  bucket.demand += 1.0 / kDemandTimeConstantSeconds;
}

bool TrySpendToken(local_rate_bucket& bucket) {
  if (bucket.level < 1.0) {
    return false;
  }
  bucket.level -= 1.0;
  return true;
}

void RefundToken(local_rate_bucket& bucket) { bucket.level += 1.0; }

token_transfer PlanTransfer(local_rate_bucket& bucket, const rate_limit& limit,
                            std::uint32_t hosts, time_point now) {
  RefillLocalBucket(bucket, limit, hosts, now);
  DecayDemand(bucket, now);
  const double prefetch = PrefetchTokens(bucket, limit, hosts);
  token_transfer transfer;
  const double surplus = bucket.level - prefetch - bucket.waiting;
  if (surplus < 0.0) {
    transfer.wanted = std::ceil(-surplus);
  } else if (surplus >= MinDeposit(limit, hosts)) {
    transfer.deposit = surplus;
    bucket.level -= surplus;
  }
  return transfer;
}

double SharedBucketCapacity(const rate_limit& limit, std::uint32_t hosts) {
  const double fraction =
      hosts < kSharedFullBurstMinHosts ? 1.0 - kLocalBurstFraction : 1.0;
  return fraction * limit.burst;
}

double ServeTransfer(shared_rate_bucket& bucket, double cap,
                     const token_transfer& transfer) {
  AddToSharedBucket(bucket, cap, transfer.deposit);
  const double given =
      std::min(std::max(transfer.wanted, 0.0), std::floor(bucket.level));
  bucket.level -= given;
  return given;
}

void AddToSharedBucket(shared_rate_bucket& bucket, double cap, double tokens) {
  bucket.level = std::min(cap, bucket.level + std::max(tokens, 0.0));
}

bool IsIdle(const local_rate_bucket& bucket, time_point now) {
  const double elapsed = Seconds(now - bucket.demand_at);
  return bucket.waiting == 0 &&
         bucket.demand * std::exp(-std::max(elapsed, 0.0) /
                                  kDemandTimeConstantSeconds) <
             kMinDemandPerSecond;
}

duration EstimatedRetryDelay(const rate_limit& limit, std::uint32_t ahead) {
  const double rate = std::max(static_cast<double>(limit.rate), 0.001);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((ahead + 1.0) / rate));
}

duration TimeToNextToken(const local_rate_bucket& bucket,
                         const rate_limit& limit, std::uint32_t hosts) {
  const double rate = std::max(LocalRate(limit, hosts), 0.001);
  const double missing = std::max(0.0, 1.0 - bucket.level);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / rate));
}

}  // namespace sassafraswick
