#include "sassafraswick/fleet/hub_monitor.h"

#include <algorithm>
#include <utility>

namespace sassafraswick {

void hub_monitor::RecordRequest(const std::string& hub, time_point now) {
  pending_.try_emplace(hub, pending_request{now, now});
}

void hub_monitor::RecordMessage(std::string_view hub) {
  const auto found = pending_.find(hub);
  if (found != pending_.end()) {
    pending_.erase(found);
  }
}

bool hub_monitor::IsUnresponsive(std::string_view hub, time_point now) const {
  const auto found = pending_.find(hub);
  return found != pending_.end() &&
         now - found->second.since > kHubResponseTimeout;
}

std::vector<std::string> hub_monitor::TakeDueProbes(time_point now) {
  std::vector<std::string> due;
  for (std::pair<const std::string, pending_request>& entry : pending_) {
    pending_request& pending = entry.second;
    if (now - pending.since > kHubResponseTimeout &&
        now - pending.probed_at >= kHubProbeInterval) {
      pending.probed_at = now;
      due.push_back(entry.first);
    }
  }
  return due;
}

std::string hub_monitor::FirstResponsive(const std::vector<std::string>& hubs,
                                         time_point now) const {
  const auto found = std::find_if(hubs.begin(), hubs.end(),
                                  [this, now](const std::string& hub) {
                                    return !IsUnresponsive(hub, now);
                                  });
  return found == hubs.end() ? std::string() : *found;
}

void hub_monitor::Retain(const std::vector<std::string>& sorted_hosts) {
  std::erase_if(pending_,
                [&sorted_hosts](
                    const std::pair<const std::string, pending_request>& each) {
                  return !std::binary_search(sorted_hosts.begin(),
                                             sorted_hosts.end(), each.first);
                });
}

}  // namespace sassafraswick
