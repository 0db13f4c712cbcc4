#ifndef SASSAFRASWICK_GATEWAY_REGISTRY_H_
#define SASSAFRASWICK_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/shared_store.h"

/// @file
/// Which hosts there are and which of them holds the failover lease, as the
/// store's keys under one prefix say.

namespace sassafraswick {

/// Prefix of all keys of this product.
inline constexpr std::string_view kRegistryPrefix = "sassafraswick/";
inline constexpr std::string_view kHostsPrefix = "sassafraswick/host/";
inline constexpr std::string_view kFailoverKey = "sassafraswick/failover";

/// Who may replace primaries.
struct failover_lease {
  /// Host and start of the holder; empty if vacant.
  std::string holder;
  /// Revision of the write that made the holder: rises with every change.
  std::int64_t fencing_token = 0;
  std::uint64_t lease = 0;
  /// When the vacancy was seen.
  time_point vacant_since;
  /// Host of the last holder, whose entry may outlive it.
  std::string last_holder_host;
};

/// What the store's keys say.
struct host_registry {
  std::map<std::string, endpoint, std::less<>> hosts;
  /// Names of `hosts`, in order.
  std::vector<std::string> names;
  /// Hosts whose entries ended, and when. They may only be cut off and still
  /// serve, so limits go on reckoning with them.
  std::map<std::string, time_point, std::less<>> expired;
  bool loaded = false;
  failover_lease failover;
};

/// Replaces everything by what was read.
void LoadRegistry(host_registry& registry, const store_page& page,
                  time_point now);

/// Takes over one change.
void ApplyRegistryItem(host_registry& registry, const store_item& item,
                       time_point now);

/// Hosts that share limits: those registered, and those that were lately.
[[nodiscard]] std::uint32_t CountSharingHosts(const host_registry& registry,
                                              time_point now);

/// Tells whether this host should try to take the vacant failover lease. Hosts
/// further down the order wait longer, so that mostly one tries.
[[nodiscard]] bool ShouldClaimFailover(const host_registry& registry,
                                       const std::string& host, time_point now);

/// Time to live of a host's lease. Hubs that die are passed over long before;
/// 1,200 hosts renew 180 times a second.
inline constexpr duration kHostLeaseTtl = std::chrono::seconds(20);
/// Time to live of the failover lease; bounds how long a dead holder keeps it.
inline constexpr duration kFailoverLeaseTtl = std::chrono::milliseconds(3000);

/// A lease of this host, by its own clock.
struct held_lease {
  std::uint64_t id = 0;
  duration ttl = duration::zero();
  /// When the newest renewal that succeeded was sent.
  time_point renewed_at;

  /// Until when this host may act on the lease. The store counts from the
  /// arrival of a renewal, this host from its sending; the margin covers calls
  /// that are under way.
  [[nodiscard]] time_point ValidUntil() const {
    return id == 0 ? time_point() : renewed_at + ttl - ttl / 4;
  }
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_REGISTRY_H_
