#ifndef SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_
#define SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_

#include <cstdint>

#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/token_grant.h"

/// @file
/// An organisation's rate and burst over hosts that nobody coordinates.
///
/// Each host makes tokens at an equal share of the rate, so the sum never
/// passes the limit, whoever is cut off. Hosts that make more than they spend
/// deposit the rest with one host that the organisation's name selects; hosts
/// that spend more withdraw there. A lost message loses tokens and makes none;
/// a bank that is gone costs only what it held.
///
/// Half of the burst may lie with the bank and half with the hosts; in a large
/// fleet, where few hosts have an account, all of it with the bank. What is
/// withdrawn and not spent yet comes on top, up to `kPrefetchHorizon` of the
/// demand.

namespace sassafraswick {

/// Demand for which a host holds withdrawn tokens. Two exchange intervals, so
/// that one lost answer does not make callers wait.
inline constexpr duration kPrefetchHorizon = std::chrono::milliseconds(200);

/// Time for which a host that starts makes tokens at once. Its last run lost at
/// least as much by its end: it takes half a second and more until a process
/// runs again.
inline constexpr duration kStartupCredit = std::chrono::milliseconds(400);

/// Time between a host's regular exchanges with a bank.
inline constexpr duration kExchangeInterval = std::chrono::milliseconds(100);

/// One organisation's tokens at one host.
struct local_rate_bucket {
  double level = 0.0;
  time_point refilled_at;
  /// Smoothed tokens asked for a second.
  double demand = 0.0;
  time_point demand_at;
  /// Requests that wait for a token.
  std::uint32_t waiting = 0;
  /// The bank had nothing to give until then.
  time_point shared_bucket_empty_until;
};

/// What a host tells a bank.
struct token_transfer {
  double deposit = 0.0;
  double wanted = 0.0;
};

/// One organisation's deposits.
struct shared_rate_bucket {
  double level = 0.0;
  /// Reading of the shard's clock up to which it was refilled.
  double refilled_to_seconds = 0.0;
  /// Term of the shard's clock in which it was refilled.
  std::uint64_t refilled_term = 0;
};

/// Fleet from which on a bank may hold the whole burst.
inline constexpr std::uint32_t kSharedFullBurstMinHosts = 16;

/// Makes the tokens that fell due.
/// @param hosts Hosts that share the rate, at least 1.
void RefillLocalBucket(local_rate_bucket& bucket, const rate_limit& limit,
                       std::uint32_t hosts, time_point now);

/// Counts one request into the demand.
void RecordDemand(local_rate_bucket& bucket, time_point now);

/// Spends one token if there is one.
[[nodiscard]] bool TrySpendToken(local_rate_bucket& bucket);

/// Gives back the token of a request that was not run.
void RefundToken(local_rate_bucket& bucket);

/// Decides on the next exchange and takes the deposit out of the account.
[[nodiscard]] token_transfer PlanTransfer(local_rate_bucket& bucket,
                                          const rate_limit& limit,
                                          std::uint32_t hosts, time_point now);

/// Tokens of an organisation that a bank may hold.
[[nodiscard]] double SharedBucketCapacity(const rate_limit& limit,
                                          std::uint32_t hosts);

/// Serves a transfer at the bank.
/// @param cap Tokens that the bank may hold.
/// @return Tokens for the host that asked.
[[nodiscard]] double ServeTransfer(shared_rate_bucket& bucket, double cap,
                                   const token_transfer& transfer);

/// Puts tokens into a bank that may hold `cap` of them.
void AddToSharedBucket(shared_rate_bucket& bucket, double cap, double tokens);

/// Tells whether a host need not keep an account any more: nobody waits, and
/// the demand has faded.
[[nodiscard]] bool IsIdle(const local_rate_bucket& bucket, time_point now);

/// Time after which a refused caller may find a token, by the whole rate.
/// @param ahead Requests that wait for one already.
[[nodiscard]] duration EstimatedRetryDelay(const rate_limit& limit,
                                           std::uint32_t ahead);

/// Time until a host's own share will have made a token.
[[nodiscard]] duration TimeToNextToken(const local_rate_bucket& bucket,
                                       const rate_limit& limit,
                                       std::uint32_t hosts);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_TOKEN_EXCHANGE_H_
