#include "sassafraswick/limits/capacity_grant.h"

#include <algorithm>

namespace sassafraswick {

std::uint32_t GrantableConnections(std::uint32_t connections,
                                   std::uint32_t hosts) noexcept {
  const std::uint32_t unavailable = kReservedControlConnections + hosts;
  return connections > unavailable ? connections - unavailable : 1;
}

std::map<std::string, std::uint32_t> MaxMinFairShares(
    std::uint32_t total, const std::map<std::string, std::uint32_t>& demands) {
  std::map<std::string, std::uint32_t> shares;
  bool given = true;
  while (total > 0 && given) {
    given = false;
    for (const std::pair<const std::string, std::uint32_t>& demand : demands) {
      std::uint32_t& share = shares[demand.first];
      if (total > 0 && share < demand.second) {
        ++share;
        --total;
        given = true;
      }
    }
  }
  return shares;
}

std::uint32_t GrantCapacity(capacity_table& table, std::uint32_t total,
                            const std::string& host, const capacity_need& need,
                            time_point now) {
  std::erase_if(
      table.holders,
      [now](const std::pair<const std::string, capacity_holder>& entry) {
        return entry.second.valid_until <= now;
      });
  capacity_holder& requester = table.holders[host];
  requester.wanted = need.wanted;
  requester.valid_until = now + kCapacityLease;
  std::map<std::string, std::uint32_t> demands;
  std::uint32_t unavailable = 0;
  for (const std::pair<const std::string, capacity_holder>& entry :
       table.holders) {
    demands[entry.first] = entry.second.wanted;
    unavailable += entry.first == host ? 0 : entry.second.committed;
  }
  const std::uint32_t fair_share = MaxMinFairShares(total, demands)[host];
  const std::uint32_t available = total > unavailable ? total - unavailable : 0;
  const std::uint32_t allowed = std::min(fair_share, available);
  requester.committed = std::max({need.held, need.allowed, allowed});
  return allowed;
}

}  // namespace sassafraswick
