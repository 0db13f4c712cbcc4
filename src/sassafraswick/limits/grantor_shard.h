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
/// Election of the hosts that grant limits. Limits are split into shards by
/// name. Each shard has one grantor, recorded in the platform's store by
/// compare-and-swap; the record's revision is the epoch.
///
/// A grantor grants only while it sees a majority of the fleet, and either the
/// store has confirmed its epoch recently or the store is unreachable, in which
/// case no other host can replace it. A successor waits until its predecessor
/// must have stopped.

namespace sassafraswick {

/// Number of grantor shards. Bounds the number of grantors, and thereby the
/// load on the store, independently of the number of hosts and organisations.
inline constexpr std::uint32_t kGrantorShardCount = 16;

/// Key prefix of the shards' records in the store.
inline constexpr std::string_view kGrantorPrefix = "/sassafraswick/grantor/";

/// Returns the grantor shard of an organisation or a resource.
[[nodiscard]] std::uint32_t GrantorShardOf(std::string_view name);

/// A host's view of a shard's grantor.
struct grantor_shard {
  grantor_epoch epoch = 0;
  /// Host that holds the shard; empty if there is none.
  std::string host;
  std::uint64_t boot = 0;
  /// If this host holds the shard: when it sent the request whose response last
  /// confirmed the epoch.
  time_point confirmed_at;
  /// If this host holds the shard: time before which it must not grant.
  time_point active_from;
};

using grantor_shards = std::array<grantor_shard, kGrantorShardCount>;

struct grantor_settings {
  /// Time for which a confirmation by the store is valid.
  duration confirmation_validity = std::chrono::milliseconds(1500);
  /// Time for which a successor waits if the predecessor may still be granting.
  duration takeover_wait = std::chrono::seconds(4);
  /// Time for which a successor waits if the predecessor has stopped: until the
  /// tokens that it granted have expired.
  duration handover_wait = kTokenLease + kTokenLeaseMargin;
};

/// Updates a shard from a record or a peer's message; ignores an epoch that is
/// not newer.
/// @return True if the epoch is newer than the known one.
bool UpdateGrantor(grantor_shard& shard, grantor_epoch epoch,
                   const std::string& host, std::uint64_t boot);

/// Returns the live hosts in the order in which they may claim a shard.
[[nodiscard]] std::vector<std::string> GrantorOrder(std::uint32_t index,
                                                    const membership& fleet);

/// Returns whether this host should claim a shard: the shard has no live
/// holder, this host sees a majority, and it ranks first among the live hosts.
[[nodiscard]] bool ShouldClaim(const grantor_shard& shard, std::uint32_t index,
                               const membership& fleet);

/// Returns whether this host may grant from a shard now.
/// @param store_down The last request to the store got no response.
[[nodiscard]] bool MayGrant(const grantor_shard& shard, const membership& fleet,
                            const grantor_settings& settings, bool store_down,
                            time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_GRANTOR_SHARD_H_
