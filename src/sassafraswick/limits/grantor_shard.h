#ifndef SASSAFRASWICK_LIMITS_GRANTOR_SHARD_H_
#define SASSAFRASWICK_LIMITS_GRANTOR_SHARD_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/limits/token_grant.h"
#include "sassafraswick/peer/membership.h"

/// @file
/// Who grants. Limits are split into shards by name; each shard has one
/// grantor, recorded in the platform's store by compare-and-swap. The record's
/// revision is the epoch.
///
/// A grantor acts only while it sees a majority of the fleet and either the
/// store confirmed its epoch lately, or the store cannot be reached, in which
/// case nobody can replace it. A successor waits until its predecessor must
/// have stopped.

namespace sassafraswick {

/// Shards of the fleet's limits; bounds the hosts that grant and thereby the
/// store's load, whatever the number of hosts and organisations.
inline constexpr std::uint32_t kShardCount = 16;

/// Prefix of the shards' records.
inline constexpr std::string_view kGrantorPrefix = "/sassafraswick/grantor/";

/// Shard of an organisation or a resource.
[[nodiscard]] std::uint32_t ShardOf(std::string_view name);

/// What a host knows of a shard's grantor.
struct grantor_shard {
  grantor_epoch epoch = 0;
  /// Empty if nobody holds the shard.
  std::string host;
  std::uint64_t boot = 0;
  /// For the own host: when the question was sent whose answer confirmed the
  /// epoch last.
  time_point confirmed_at;
  /// For the own host: not before this time.
  time_point active_from;
};

using grantor_shards = std::array<grantor_shard, kShardCount>;

struct grantor_settings {
  /// Age of a confirmation up to which the store's word counts.
  duration confirmation_validity = std::chrono::milliseconds(1500);
  /// Time a successor waits after an unplanned change.
  duration takeover_wait = std::chrono::seconds(4);
  /// The same if the predecessor is known to have stopped.
  duration handover_wait = kTokenLease + kTokenLeaseMargin;
};

/// Takes over what was heard of a shard.
/// @return True if it was news.
bool UpdateGrantor(grantor_shard& shard, grantor_epoch epoch,
                   const std::string& host, std::uint64_t boot);

/// Live hosts in the order in which they may claim a shard.
[[nodiscard]] std::vector<std::string> GrantorOrder(std::uint32_t index,
                                                    const membership& fleet);

/// Tells whether this host should try to become a shard's grantor: its holder
/// is gone, and this host comes first among the live ones.
[[nodiscard]] bool ShouldClaim(const grantor_shard& shard, std::uint32_t index,
                               const membership& fleet);

/// Tells whether this host may grant from a shard now.
/// @param store_down The last question to the store got no answer.
[[nodiscard]] bool MayGrant(const grantor_shard& shard, const membership& fleet,
                            const grantor_settings& settings, bool store_down,
                            time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_GRANTOR_SHARD_H_
