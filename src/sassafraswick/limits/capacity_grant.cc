#include "sassafraswick/limits/capacity_grant.h"

#include <algorithm>

namespace sassafraswick {

std::uint32_t GrantableConnections(std::uint32_t connections,
                                   std::uint32_t hosts) noexcept {
  const std::uint32_t taken = kReservedForControl + hosts;
  return connections > taken ? connections - taken : 1;
}

std::map<std::string, std::uint32_t> DivideFairly(
    std::uint32_t total, const std::map<std::string, std::uint32_t>& wishes) {
  std::map<std::string, std::uint32_t> shares;
  bool given = true;
  while (total > 0 && given) {
    given = false;
    for (const std::pair<const std::string, std::uint32_t>& wish : wishes) {
      std::uint32_t& share = shares[wish.first];
      if (total > 0 && share < wish.second) {
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
  capacity_holder& asking = table.holders[host];
  asking.wanted = need.wanted;
  asking.valid_until = now + kCapacityLease;
  std::map<std::string, std::uint32_t> wishes;
  std::uint32_t taken = 0;
  for (const std::pair<const std::string, capacity_holder>& entry :
       table.holders) {
    wishes[entry.first] = entry.second.wanted;
    taken += entry.first == host ? 0 : entry.second.committed;
  }
  const std::uint32_t fair = DivideFairly(total, wishes)[host];
  const std::uint32_t free = total > taken ? total - taken : 0;
  const std::uint32_t allowed = std::min(fair, free);
  asking.committed = std::max({need.held, need.allowed, allowed});
  return allowed;
}

}  // namespace sassafraswick
