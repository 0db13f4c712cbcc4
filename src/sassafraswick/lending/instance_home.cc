#include "sassafraswick/lending/instance_home.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// A candidate's place in the ranking of one instance.
struct ranked_host {
  bool in_zone = false;
  double score = 0.0;
  std::string_view host;

  [[nodiscard]] bool IsBefore(const ranked_host& other) const {
    if (in_zone != other.in_zone) {
      return in_zone;
    }
    return score != other.score ? score > other.score : host < other.host;
  }
};

/// Score of weighted rendezvous hashing: a host has the highest score of all
/// with a probability in proportion to its capacity.
double WeightedScore(std::string_view instance,
                     const home_candidate& candidate) {
  constexpr int kHashBits = 64;
  constexpr int kUsedBits = 52;
  constexpr double kHalf = 0.5;
  const std::uint64_t hash = RendezvousScore(instance, candidate.host);
  // Strictly between 0 and 1.
  const double uniform = std::ldexp(
      static_cast<double>(hash >> (kHashBits - kUsedBits)) + kHalf, -kUsedBits);
  return -candidate.capacity / std::log(uniform);
}

}  // namespace

bool IsUsableCapacity(double capacity) noexcept {
  return capacity > 0.0 && capacity <= kMaxHostCapacity;
}

std::vector<std::string> RankHomes(
    std::string_view instance, std::string_view availability_zone,
    const std::vector<home_candidate>& candidates, std::size_t count) {
  std::vector<ranked_host> ranking;
  ranking.reserve(candidates.size());
  for (const home_candidate& candidate : candidates) {
    if (IsUsableCapacity(candidate.capacity)) {
      ranking.push_back({candidate.availability_zone == availability_zone,
                         WeightedScore(instance, candidate), candidate.host});
    }
  }
  const std::size_t chosen = std::min(count, ranking.size());
  std::partial_sort(ranking.begin(),
                    ranking.begin() + static_cast<std::ptrdiff_t>(chosen),
                    ranking.end(), std::mem_fn(&ranked_host::IsBefore));
  std::vector<std::string> homes;
  for (std::size_t i = 0; i < chosen; ++i) {
    homes.emplace_back(ranking[i].host);
  }
  return homes;
}

}  // namespace sassafraswick
