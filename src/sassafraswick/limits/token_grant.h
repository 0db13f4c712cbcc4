#ifndef SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_
#define SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Rate limit of an organisation over the fleet, by leased grants of tokens.
///
/// One grantor holds the token bucket and grants tokens to hosts. Outstanding
/// tokens count against the burst. The tokens granted in a window and those
/// outstanding at its start are therefore at most rate x window + burst, and
/// the fleet admits no more than that in any window. All counts between host
/// and grantor are cumulative, so lost, late and duplicate messages are
/// harmless.

namespace sassafraswick {

/// Identifies one grantor's tenure of a shard; later epochs are higher.
using grantor_epoch = std::uint64_t;

/// Validity of tokens, which the host counts from the time of its request.
inline constexpr duration kTokenLease = std::chrono::seconds(1);
/// Additional time for which the grantor waits before it reclaims unreported
/// tokens.
inline constexpr duration kTokenLeaseMargin = std::chrono::milliseconds(200);

/// A host's totals of one organisation and its request for tokens.
struct token_need {
  grantor_epoch epoch = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  /// Number of unspent tokens that the host requests to hold.
  std::uint64_t wanted = 0;
};

/// The grantor's response.
struct token_share {
  grantor_epoch epoch = 0;
  /// Total granted to the host in this epoch.
  std::uint64_t granted = 0;
  /// Time until a token becomes available, if none could be granted.
  duration retry_after = duration::zero();
};

/// The grantor's record of one host.
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
  /// By host and boot identifier, joined by a slash.
  std::map<std::string, host_ledger> hosts;
};

/// Limits of an organisation, in tokens per second and in tokens.
struct rate_limit {
  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
};

/// Returns the number of granted tokens that hosts may still spend.
[[nodiscard]] std::uint64_t Outstanding(const token_bucket& bucket);

/// Records a host's totals and grants it tokens from the bucket.
/// @param host Host and boot identifier, joined by a slash.
[[nodiscard]] token_share Grant(token_bucket& bucket, const rate_limit& limit,
                                grantor_epoch epoch, const std::string& host,
                                const token_need& need, time_point now);

/// State of one bucket that a stopping grantor hands over.
struct handed_bucket {
  double level = 0.0;
  /// Outstanding tokens when the grantor stopped.
  std::uint64_t outstanding = 0;
};

/// Refills a bucket and returns its state for the successor.
[[nodiscard]] handed_bucket HandOver(token_bucket& bucket,
                                     const rate_limit& limit, time_point now);

/// Restores a bucket that was handed over.
/// @param received_at When this host received the state.
/// @param now Start of the new epoch's grants, by which time all outstanding
/// tokens have expired.
[[nodiscard]] token_bucket RestoreBucket(const handed_bucket& handed,
                                         const rate_limit& limit,
                                         time_point received_at,
                                         time_point now);

/// Granted tokens of one organisation at one host.
struct token_allowance {
  grantor_epoch epoch = 0;
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  time_point valid_until;
  /// Smoothed demand in tokens per second. Only tokens that were spent count.
  double demand = 0.0;
  time_point demand_at;
  /// Time of the last attempt to spend a token.
  time_point used_at;
  /// Statements that wait for a token.
  std::uint64_t waiting = 0;
};

/// Returns the number of tokens that may be spent now.
[[nodiscard]] std::uint64_t Unspent(const token_allowance& allowance,
                                    time_point now);

/// Spends one token if available.
[[nodiscard]] bool TrySpend(token_allowance& allowance, time_point now);

/// Returns the number of tokens to hold: one for each waiting statement, and
/// the demand expected in the near future.
[[nodiscard]] std::uint64_t WantedTokens(const token_allowance& allowance,
                                         time_point now);

/// Counts tokens whose lease has expired as returned. Must precede every
/// request to the grantor, so that a later lease does not make them valid
/// again.
void ExpireTokens(token_allowance& allowance, time_point now);

/// Returns all unspent tokens; the next request reports them to the grantor.
void ReturnUnspent(token_allowance& allowance, time_point now);

/// Applies a grantor's response; ignores earlier epochs.
/// @param requested_at When the request was sent.
void ApplyShare(token_allowance& allowance, const token_share& share,
                time_point requested_at);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_TOKEN_GRANT_H_
