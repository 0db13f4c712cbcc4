#ifndef SASSAFRASWICK_GATEWAY_REGISTRY_H_
#define SASSAFRASWICK_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/store_era.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/lending/capacity_entry.h"
#include "sassafraswick/lending/instance_home.h"

/// @file
/// The registered hosts and the holder of the failover lease, as stored under
/// one key prefix of the shared store.

namespace sassafraswick {

/// Prefix of all keys that gateways write.
inline constexpr std::string_view kRegistryPrefix = "sassafraswick/";
inline constexpr std::string_view kHostsPrefix = "sassafraswick/host/";
inline constexpr std::string_view kCapacityPrefix = "sassafraswick/capacity/";
inline constexpr std::string_view kFailoverKey = "sassafraswick/failover";
/// Outside of `kRegistryPrefix`, as only the holder of the failover lease reads
/// them.
inline constexpr std::string_view kOrdersPrefix = "sassafraswick-orders/";

/// The lease whose holder may replace primaries.
struct failover_lease {
  /// Host name and boot id of the holder; empty if the lease is vacant.
  std::string holder;
  /// Store revision of the write that set the holder, or of its removal;
  /// increases with every change.
  store_revision fencing_token;
  std::uint64_t lease = 0;
  /// When this host learned that the lease is vacant.
  time_point vacant_since;
  /// Host of the last holder. Its entry in the host list may outlive the lease.
  std::string last_holder_host;
};

/// Lease under which a key was written. Unlike its number, it is unique over
/// eras.
struct lease_reference {
  store_era era = 0;
  std::uint64_t id = 0;

  bool operator==(const lease_reference&) const = default;
};

/// What a host registered about its capacity.
struct registered_capacity {
  host_capacity capacity;
  lease_reference lease;
};

/// The registry as this host knows it.
struct host_registry {
  std::map<std::string, endpoint, std::less<>> hosts;
  /// Sorted names of `hosts`.
  std::vector<std::string> names;
  /// Processor capacity of each host in `names`; zero where it is unknown.
  std::vector<double> cores;
  /// Leases of the entries in `hosts`.
  std::map<std::string, lease_reference, std::less<>> leases;
  /// Capacities by host; may name hosts that are not in `hosts`.
  std::map<std::string, registered_capacity, std::less<>> capacities;
  /// Hosts whose entries were removed or expired, and when. Such a host may
  /// still be serving and only be unable to reach the store, so limits keep
  /// counting it for some time.
  std::map<std::string, time_point, std::less<>> expired;
  /// Hosts that were registered in an earlier era of the store and have not
  /// registered in the current one, and since when.
  std::map<std::string, time_point, std::less<>> unconfirmed;
  bool loaded = false;
  /// Era of the last complete read.
  store_era era = 0;
  failover_lease failover;
};

/// Replaces the registry by the result of a complete read. In a new era of the
/// store, hosts that it lacks remain until `DropUnconfirmedHosts`.
void LoadRegistry(host_registry& registry, const store_page& page,
                  time_point now);

/// Applies one change.
void ApplyRegistryItem(host_registry& registry, const store_item& item,
                       time_point now);

/// Removes the hosts that had time to register in the current era and did not.
/// @return Whether there were any.
bool DropUnconfirmedHosts(host_registry& registry, time_point now);

/// Returns the hosts that can lend connections: those whose address and
/// capacity were registered together. A host that restarts with a build that
/// registers no capacity is none, though its earlier capacity may still be
/// listed.
[[nodiscard]] std::vector<home_candidate> HomeCandidates(
    const host_registry& registry);

/// Updates `cores`. Must be called after every change of the other members.
void RefreshCores(host_registry& registry);

/// Returns the number of hosts that share limits: those registered, and those
/// that were until recently.
[[nodiscard]] std::uint32_t CountSharingHosts(const host_registry& registry,
                                              time_point now);

/// Returns whether this host should claim the vacant failover lease. Hosts
/// further down the ranking wait longer, so that usually only one host tries.
[[nodiscard]] bool ShouldClaimFailover(const host_registry& registry,
                                       const std::string& host, time_point now);

/// Time to live of a host's lease. It may be long, since hubs that died are
/// bypassed long before it ends; 1,200 hosts make 180 renewals a second.
inline constexpr duration kHostLeaseTtl = std::chrono::seconds(20);
/// Time to live of the failover lease. Bounds how long a dead host keeps it.
inline constexpr duration kFailoverLeaseTtl = std::chrono::milliseconds(3000);

/// A lease held by this host, measured by the host's own clock.
struct held_lease {
  std::uint64_t id = 0;
  store_era era = 0;
  duration ttl = duration::zero();
  /// When the last successful renewal was sent.
  time_point renewed_at;

  /// Time until which this host may act on the lease. The store measures from
  /// the arrival of a renewal and this host from its sending, so this host's
  /// view ends first; the margin of a quarter covers calls that are in flight.
  [[nodiscard]] time_point ValidUntil() const {
    return id == 0 ? time_point() : renewed_at + ttl - ttl / 4;
  }
};

/// Returns whether the failover lease names this host as its holder though the
/// host does not hold it: the response to its claim was lost, or its claim was
/// written under a lease number that a new era gave to another host. The record
/// then has to be released, as that lease may be renewed for long.
/// @param identity The host's name in the record.
[[nodiscard]] bool IsStrayHolder(const host_registry& registry,
                                 std::string_view identity,
                                 const held_lease& lease,
                                 const store_era_tracker& eras);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_REGISTRY_H_
