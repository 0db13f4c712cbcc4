#include "sassafraswick/gateway/registry.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Additional wait of each host after the one ranked before it.
constexpr duration kClaimDelayPerRank = std::chrono::milliseconds(250);
/// Time for which a host whose entry is gone still counts as sharing the
/// limits. It exceeds the longest partition in the deployment's requirements
/// (12 s). If the host is really gone, its share stays unused until then.
constexpr duration kExpiredHostSharingTime = std::chrono::seconds(60);

/// Time beyond `ReregistrationSpread` for registrations in a new era: retries
/// while the store is busy, and the way to other hosts.
constexpr duration kReregistrationMargin = std::chrono::seconds(5);

void RefreshNames(host_registry& registry) {
  registry.names.clear();
  for (const std::pair<const std::string, endpoint>& host : registry.hosts) {
    registry.names.push_back(host.first);
  }
}

lease_reference LeaseOf(const store_item& item) {
  return {item.revision.era, item.lease};
}

void ApplyHost(host_registry& registry, const store_item& item,
               time_point now) {
  const std::string name = item.key.substr(kHostsPrefix.size());
  const result<endpoint> address = ParseEndpoint(item.value);
  registry.unconfirmed.erase(name);
  if (item.deleted || !address) {
    registry.hosts.erase(name);
    registry.leases.erase(name);
    registry.expired[name] = now;
  } else {
    registry.hosts[name] = address.value();
    registry.leases[name] = LeaseOf(item);
    registry.expired.erase(name);
  }
  RefreshNames(registry);
}

void ApplyCapacity(host_registry& registry, const store_item& item) {
  const std::string name = item.key.substr(kCapacityPrefix.size());
  const result<host_capacity> capacity = ParseCapacityEntry(item.value);
  if (item.deleted || !capacity) {
    registry.capacities.erase(name);
  } else {
    registry.capacities[name] = {capacity.value(), LeaseOf(item)};
  }
}

void ApplyFailover(failover_lease& failover, const store_item& item,
                   time_point now) {
  if (item.revision < failover.fencing_token) {
    return;
  }
  failover.fencing_token = item.revision;
  failover.holder = item.deleted ? std::string() : item.value;
  failover.lease = item.deleted ? 0 : item.lease;
  if (item.deleted) {
    failover.vacant_since = now;
  } else {
    failover.last_holder_host = item.value.substr(0, item.value.find('/'));
  }
}

/// Removes the capacity of a host unless it is of the current era.
void DropEarlierCapacity(host_registry& registry, const std::string& name) {
  const auto found = registry.capacities.find(name);
  if (found != registry.capacities.end() &&
      found->second.lease.era != registry.era) {
    registry.capacities.erase(found);
  }
}

/// Keeps what a host registered about its capacity in an earlier era.
void KeepCapacity(host_registry& registry, const host_registry& previous,
                  const std::string& name) {
  const auto lease = previous.leases.find(name);
  if (lease != previous.leases.end()) {
    registry.leases[name] = lease->second;
  }
  const auto capacity = previous.capacities.find(name);
  if (capacity != previous.capacities.end()) {
    registry.capacities[name] = capacity->second;
  }
}

}  // namespace

void LoadRegistry(host_registry& registry, const store_page& page,
                  time_point now) {
  const host_registry previous = std::move(registry);
  registry = host_registry();
  registry.loaded = true;
  registry.expired = previous.expired;
  registry.era = page.revision.era;
  const bool is_new_era = previous.loaded && previous.era != registry.era;
  for (const std::string& name : previous.names) {
    if (is_new_era) {
      registry.hosts[name] = previous.hosts.find(name)->second;
      registry.unconfirmed[name] = now;
      KeepCapacity(registry, previous, name);
    } else {
      registry.expired[name] = now;
    }
  }
  RefreshNames(registry);
  registry.failover.vacant_since =
      previous.failover.holder.empty() &&
              previous.failover.vacant_since != time_point()
          ? previous.failover.vacant_since
          : now;
  registry.failover.last_holder_host = previous.failover.last_holder_host;
  for (const store_item& item : page.items) {
    ApplyRegistryItem(registry, item, now);
  }
}

void ApplyRegistryItem(host_registry& registry, const store_item& item,
                       time_point now) {
  if (item.key.starts_with(kHostsPrefix)) {
    ApplyHost(registry, item, now);
  } else if (item.key.starts_with(kCapacityPrefix)) {
    ApplyCapacity(registry, item);
  } else if (item.key == kFailoverKey) {
    ApplyFailover(registry.failover, item, now);
  }
}

bool DropUnconfirmedHosts(host_registry& registry, time_point now) {
  const duration wait =
      ReregistrationSpread(registry.names.size()) + kReregistrationMargin;
  bool dropped = false;
  for (auto each = registry.unconfirmed.begin();
       each != registry.unconfirmed.end();) {
    if (now - each->second < wait) {
      ++each;
      continue;
    }
    registry.hosts.erase(each->first);
    registry.leases.erase(each->first);
    DropEarlierCapacity(registry, each->first);
    registry.expired[each->first] = now;
    each = registry.unconfirmed.erase(each);
    dropped = true;
  }
  RefreshNames(registry);
  return dropped;
}

void RefreshCores(host_registry& registry) {
  registry.cores.clear();
  for (const std::string& name : registry.names) {
    const auto found = registry.capacities.find(name);
    registry.cores.push_back(found == registry.capacities.end()
                                 ? 0.0
                                 : found->second.capacity.cores);
  }
}

std::vector<home_candidate> HomeCandidates(const host_registry& registry) {
  std::vector<home_candidate> candidates;
  for (const std::string& name : registry.names) {
    const auto lease = registry.leases.find(name);
    const auto found = registry.capacities.find(name);
    if (lease != registry.leases.end() && found != registry.capacities.end() &&
        found->second.lease == lease->second) {
      const host_capacity& capacity = found->second.capacity;
      candidates.push_back({name, capacity.availability_zone, capacity.cores});
    }
  }
  return candidates;
}

std::uint32_t CountSharingHosts(const host_registry& registry, time_point now) {
  std::uint32_t count = static_cast<std::uint32_t>(registry.hosts.size());
  for (const std::pair<const std::string, time_point>& host :
       registry.expired) {
    if (now - host.second < kExpiredHostSharingTime) {
      ++count;
    }
  }
  return count;
}

bool ShouldClaimFailover(const host_registry& registry, const std::string& host,
                         time_point now) {
  if (!registry.failover.holder.empty()) {
    return false;
  }
  std::vector<std::string> candidates = registry.names;
  if (host != registry.failover.last_holder_host) {
    std::erase(candidates, registry.failover.last_holder_host);
  }
  const std::vector<std::string> order =
      RendezvousOrder(kFailoverKey, std::move(candidates));
  const auto own_position = std::find(order.begin(), order.end(), host);
  const std::ptrdiff_t rank = own_position - order.begin();
  return now - registry.failover.vacant_since >= kClaimDelayPerRank * rank;
}

bool IsStrayHolder(const host_registry& registry, std::string_view identity,
                   const held_lease& lease, const store_era_tracker& eras) {
  const failover_lease& recorded = registry.failover;
  return recorded.holder == identity &&
         recorded.fencing_token.era == eras.Current() &&
         (recorded.lease != lease.id || lease.era != eras.Current());
}

}  // namespace sassafraswick
