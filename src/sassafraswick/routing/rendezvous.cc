#include "sassafraswick/routing/rendezvous.h"

#include <xxhash.h>

namespace sassafraswick {

std::uint64_t RendezvousScore(std::string_view name, std::string_view host) {
  const XXH64_hash_t seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(host.data(), host.size(), seed);
}

std::vector<std::string> RendezvousOrder(std::string_view name,
                                         std::vector<std::string> hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [name](const std::string& left, const std::string& right) {
              const std::uint64_t left_score = RendezvousScore(name, left);
              const std::uint64_t right_score = RendezvousScore(name, right);
              return left_score != right_score ? left_score > right_score
                                               : left < right;
            });
  return hosts;
}

std::vector<std::string> HubHosts(const std::vector<std::string>& hosts) {
  std::vector<std::string> hubs = RendezvousOrder("hubs", hosts);
  const std::size_t count = std::max(kMinHubs, hosts.size() / kHostsPerHub);
  if (hubs.size() > count) {
    hubs.resize(count);
  }
  return hubs;
}

void hub_ranking::SetHosts(const std::vector<std::string>& hosts) {
  if (hosts_ != hosts) {
    hosts_ = hosts;
    hubs_ = HubHosts(hosts);
    rankings_.clear();
  }
}

const std::vector<std::string>& hub_ranking::RankedHubs(
    const std::string& name) {
  std::vector<std::string>& rank = rankings_[name];
  if (rank.empty()) {
    rank = RendezvousOrder(name, hubs_);
  }
  return rank;
}

}  // namespace sassafraswick
