#include "sassafraswick/fleet/hub_contacts.h"

#include <algorithm>
#include <utility>

namespace sassafraswick {

void hub_contacts::NoteAsked(const std::string& hub, time_point now) {
  debts_.try_emplace(hub, debt{now, now});
}

void hub_contacts::NoteHeard(std::string_view hub) {
  const auto found = debts_.find(hub);
  if (found != debts_.end()) {
    debts_.erase(found);
  }
}

bool hub_contacts::IsSilent(std::string_view hub, time_point now) const {
  const auto found = debts_.find(hub);
  return found != debts_.end() && now - found->second.since > kHubLimit;
}

std::vector<std::string> hub_contacts::TakeDueProbes(time_point now) {
  std::vector<std::string> due;
  for (std::pair<const std::string, debt>& entry : debts_) {
    debt& owed = entry.second;
    if (now - owed.since > kHubLimit &&
        now - owed.probed_at >= kHubProbeInterval) {
      owed.probed_at = now;
      due.push_back(entry.first);
    }
  }
  return due;
}

std::string hub_contacts::FirstAnswering(const std::vector<std::string>& hubs,
                                         time_point now) const {
  const auto found = std::find_if(
      hubs.begin(), hubs.end(),
      [this, now](const std::string& hub) { return !IsSilent(hub, now); });
  return found == hubs.end() ? std::string() : *found;
}

void hub_contacts::Retain(const std::vector<std::string>& sorted_hosts) {
  std::erase_if(
      debts_, [&sorted_hosts](const std::pair<const std::string, debt>& each) {
        return !std::binary_search(sorted_hosts.begin(), sorted_hosts.end(),
                                   each.first);
      });
}

}  // namespace sassafraswick
