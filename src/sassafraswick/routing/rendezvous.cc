#include "sassafraswick/routing/rendezvous.h"

#include <xxhash.h>

#include <cmath>
#include <limits>
#include <tuple>

namespace sassafraswick {
namespace {

/// Returns a class of capacities that differ by less than a factor of two;
/// higher for more cores.
int CapacityClass(double cores) {
  return cores > 0.0 ? std::ilogb(cores) : std::numeric_limits<int>::min();
}

}  // namespace

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

std::vector<std::string> HubHosts(const std::vector<std::string>& hosts,
                                  const std::vector<double>& cores) {
  struct candidate {
    int capacity_class = 0;
    std::uint64_t score = 0;
    std::string host;
  };
  // Hosts of an earlier build register no capacity and rank by hash alone. All
  // hosts have to agree, so the others do so too until none is left.
  const bool all_known =
      cores.size() == hosts.size() &&
      std::all_of(cores.begin(), cores.end(),
                  [](double capacity) { return capacity > 0.0; });
  std::vector<candidate> candidates;
  candidates.reserve(hosts.size());
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const double capacity = all_known ? cores[i] : 0.0;
    candidates.push_back(
        {CapacityClass(capacity), RendezvousScore("hubs", hosts[i]), hosts[i]});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& left, const candidate& right) {
              return std::tie(right.capacity_class, right.score, left.host) <
                     std::tie(left.capacity_class, left.score, right.host);
            });
  const std::size_t count =
      std::min(hosts.size(), std::max(kMinHubs, hosts.size() / kHostsPerHub));
  std::vector<std::string> hubs;
  hubs.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    hubs.push_back(candidates[i].host);
  }
  return hubs;
}

void hub_ranking::SetHosts(const std::vector<std::string>& hosts,
                           const std::vector<double>& cores) {
  if (hosts_ == hosts && cores_ == cores) {
    return;
  }
  hosts_ = hosts;
  cores_ = cores;
  hubs_ = HubHosts(hosts, cores);
  successors_.clear();
  for (const std::string& host : HubHosts(hosts)) {
    if (std::find(hubs_.begin(), hubs_.end(), host) == hubs_.end()) {
      successors_.push_back(host);
    }
  }
  rankings_.clear();
}

const std::vector<std::string>& hub_ranking::RankedHubs(
    const std::string& name) {
  std::vector<std::string>& rank = rankings_[name];
  if (rank.empty()) {
    rank = RendezvousOrder(name, hubs_);
    const std::vector<std::string> last = RendezvousOrder(name, successors_);
    rank.insert(rank.end(), last.begin(), last.end());
  }
  return rank;
}

}  // namespace sassafraswick
