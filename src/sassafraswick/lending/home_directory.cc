#include "sassafraswick/lending/home_directory.h"

namespace sassafraswick {

void home_directory::SetCandidates(std::vector<home_candidate> candidates) {
  if (candidates_ != candidates) {
    candidates_ = std::move(candidates);
    rankings_.clear();
  }
}

const std::vector<std::string>& home_directory::HomesOf(
    const std::string& instance, const std::string& availability_zone) {
  std::vector<std::string>& homes = rankings_[{instance, availability_zone}];
  if (homes.empty()) {
    homes =
        RankHomes(instance, availability_zone, candidates_, kHomesPerInstance);
  }
  return homes;
}

}  // namespace sassafraswick
