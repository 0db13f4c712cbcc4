#ifndef SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_
#define SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// An organisation's rate and burst, shared over the fleet by leased grants.
///
/// One grantor holds the token bucket and hands tokens out to hosts. Tokens
/// that are out count against the burst, so over any window the fleet admits at
/// most rate x window + burst: what is handed out in the window, plus what was
/// out when it began, fits. All counts between host and grantor are running
/// totals, so lost, late and repeated messages change nothing.

namespace sassafraswick {

/// Identifies one reign of a grantor; later ones are higher.
using grantor_epoch = std::uint64_t;

/// Time for which tokens stay valid, counted at the host from the moment it
/// asked for them.
inline constexpr duration kTokenLease = std::chrono::seconds(1);
/// Extra time that the grantor waits before it takes unreported tokens back.
inline constexpr duration kTokenLeaseMargin = std::chrono::milliseconds(200);

/// Totals that a host reports of one organisation.
struct token_need {
  grantor_epoch epoch = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  /// Unspent tokens the host would like to hold.
  std::uint64_t wanted = 0;
};

/// The grantor's answer.
struct token_share {
  grantor_epoch epoch = 0;
  /// Total granted to the host in this epoch.
  std::uint64_t granted = 0;
  /// Time until a token will be free, if the need could not be met.
  duration retry_after = duration::zero();
};

/// What a grantor knows of one host.
struct host_ledger {
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  time_point valid_until;
};

/// One organisation's bucket at its grantor.
struct token_bucket {
  double level = 0.0;
  time_point refilled_at;
  /// By host and its start.
  std::map<std::string, host_ledger> hosts;
};

/// Limits of an organisation.
struct rate_limit {
  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
};

/// Tokens that hosts may still spend.
[[nodiscard]] std::uint64_t Outstanding(const token_bucket& bucket);

/// Serves a host's need from the bucket.
/// @param host Host and its start, as one text.
[[nodiscard]] token_share Grant(token_bucket& bucket, const rate_limit& limit,
                                grantor_epoch epoch, const std::string& host,
                                const token_need& need, time_point now);

/// What a grantor that stops passes on of one bucket.
struct handed_bucket {
  double level = 0.0;
  /// Tokens that were out when it stopped.
  std::uint64_t outstanding = 0;
};

/// Fills a bucket up and describes it for a successor.
[[nodiscard]] handed_bucket HandOver(token_bucket& bucket,
                                     const rate_limit& limit, time_point now);

/// Goes on with a bucket that was handed over.
/// @param received_at When the description arrived here.
/// @param now Start of the new reign; tokens that were out have lapsed by then.
[[nodiscard]] token_bucket RestoreBucket(const handed_bucket& handed,
                                         const rate_limit& limit,
                                         time_point received_at,
                                         time_point now);

/// Tokens of one organisation at one host.
struct token_allowance {
  grantor_epoch epoch = 0;
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  time_point valid_until;
  /// Smoothed tokens spent a second.
  double demand = 0.0;
  time_point demand_at;
  /// When a token was last asked for.
  time_point used_at;
  /// Statements that wait for a token.
  std::uint64_t waiting = 0;
};

/// Tokens that may be spent now.
[[nodiscard]] std::uint64_t Unspent(const token_allowance& allowance,
                                    time_point now);

/// Spends one token if there is one.
[[nodiscard]] bool TrySpend(token_allowance& allowance, time_point now);

/// Tokens worth holding: those waited for, and some for the near future.
[[nodiscard]] std::uint64_t WantedTokens(const token_allowance& allowance,
                                         time_point now);

/// Writes off tokens whose lease ran out. Must precede every request to the
/// grantor, so that a later lease does not revive them.
void ExpireTokens(token_allowance& allowance, time_point now);

/// Gives all unspent tokens back; the next request to the grantor says so.
void ReturnUnspent(token_allowance& allowance, time_point now);

/// Takes over an answer.
/// @param requested_at When the request that it answers was sent.
void ApplyShare(token_allowance& allowance, const token_share& share,
                time_point requested_at);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_
