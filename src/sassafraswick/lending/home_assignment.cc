#include "sassafraswick/lending/home_assignment.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Number of hosts to rank for an instance before all of them are.
constexpr std::size_t kFirstChoices = 8;

/// Hosts that share the instances of an availability zone.
class home_pool {
 public:
  void AddHost(const home_candidate& candidate) {
    capacities_[candidate.host] = candidate.capacity;
    total_capacity_ += candidate.capacity;
  }

  void CountInstance() { ++instances_; }

  /// Takes the first host of a ranking that belongs to the pool and is not
  /// full.
  /// @return Its name; empty if there is none.
  std::string Take(const std::vector<std::string>& ranking) {
    for (const std::string& host : ranking) {
      const auto capacity = capacities_.find(host);
      if (capacity == capacities_.end()) {
        continue;
      }
      std::size_t& load = loads_[host];
      if (static_cast<double>(load) < MaxLoad(capacity->second)) {
        ++load;
        return host;
      }
    }
    return {};
  }

 private:
  [[nodiscard]] double MaxLoad(double capacity) const {
    return std::ceil(kHomeLoadFactor * static_cast<double>(instances_) *
                     capacity / total_capacity_);
  }

  std::map<std::string, double> capacities_;
  std::map<std::string, std::size_t> loads_;
  double total_capacity_ = 0.0;
  std::size_t instances_ = 0;
};

/// Brings instances into an order in which neighbours by name are apart and
/// which is the same on all hosts.
void SortInstances(std::vector<instance_location>& instances) {
  const auto key = [](const instance_location& instance) {
    return std::make_pair(RendezvousScore("homes", instance.id),
                          std::string_view(instance.id));
  };
  std::sort(
      instances.begin(), instances.end(),
      [&key](const instance_location& left, const instance_location& right) {
        return key(left) < key(right);
      });
}

}  // namespace

std::map<std::string, std::string> AssignHomes(
    std::vector<instance_location> instances,
    std::vector<home_candidate> candidates) {
  std::erase_if(candidates, [](const home_candidate& candidate) {
    return !IsUsableCapacity(candidate.capacity);
  });
  std::map<std::string, std::string> homes;
  if (candidates.empty() ||
      instances.size() * candidates.size() > kMaxBoundedPairs) {
    return homes;
  }
  // Sums of capacities depend on their order.
  std::sort(candidates.begin(), candidates.end(),
            [](const home_candidate& left, const home_candidate& right) {
              return left.host < right.host;
            });
  SortInstances(instances);
  std::map<std::string, home_pool> zones;
  // Serves the zones that have no hosts.
  home_pool all;
  for (const home_candidate& candidate : candidates) {
    zones[candidate.availability_zone].AddHost(candidate);
    all.AddHost(candidate);
  }
  const auto pool_of = [&zones,
                        &all](const instance_location& instance) -> home_pool& {
    const auto zone = zones.find(instance.availability_zone);
    return zone == zones.end() ? all : zone->second;
  };
  for (const instance_location& instance : instances) {
    pool_of(instance).CountInstance();
  }
  for (const instance_location& instance : instances) {
    const auto ranking = [&instance, &candidates](std::size_t count) {
      return RankHomes(instance.id, instance.availability_zone, candidates,
                       count);
    };
    home_pool& pool = pool_of(instance);
    std::string& home = homes[instance.id];
    home = pool.Take(ranking(kFirstChoices));
    if (home.empty()) {
      home = pool.Take(ranking(candidates.size()));
    }
  }
  return homes;
}

}  // namespace sassafraswick
