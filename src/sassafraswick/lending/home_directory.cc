#include "sassafraswick/lending/home_directory.h"

namespace sassafraswick {

void home_directory::SetCandidates(std::vector<home_candidate> candidates) {
  if (candidates_ != candidates) {
    candidates_ = std::move(candidates);
    Reset();
  }
}

void home_directory::SetInstances(std::vector<instance_location> instances) {
  if (instances_ != instances) {
    instances_ = std::move(instances);
    Reset();
  }
}

void home_directory::Reset() {
  assigned_.reset();
  rankings_.clear();
}

void home_directory::PutAssignedFirst(const std::string& instance,
                                      std::vector<std::string>& homes) {
  if (!assigned_.has_value()) {
    assigned_ = AssignHomes(instances_, candidates_);
  }
  const auto home = assigned_->find(instance);
  if (home == assigned_->end()) {
    return;
  }
  std::erase(homes, home->second);
  homes.insert(homes.begin(), home->second);
  if (homes.size() > kHomesPerInstance) {
    homes.resize(kHomesPerInstance);
  }
}

const std::vector<std::string>& home_directory::HomesOf(
    const std::string& instance, const std::string& availability_zone) {
  std::vector<std::string>& homes = rankings_[{instance, availability_zone}];
  if (homes.empty()) {
    homes =
        RankHomes(instance, availability_zone, candidates_, kHomesPerInstance);
    PutAssignedFirst(instance, homes);
  }
  return homes;
}

}  // namespace sassafraswick
