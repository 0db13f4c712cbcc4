#include "sassafraswick/fleet/store_change_log.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Maximum number of keys in a log; the oldest changes are evicted first. Twice
/// the number of entries of hosts and instances in a fleet of 1,200.
constexpr std::size_t kMaxChanges = 8192;

std::vector<std::string> RelayHosts(const std::vector<std::string>& ranked) {
  const std::size_t count = std::min(kRelayHostCount, ranked.size());
  return {ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace

void store_change_log::Reset(const store_revision& revision) {
  // Two prefixes are read one after the other. The log is complete since the
  // later read.
  complete_since_ = std::max(complete_since_, revision);
  initialized_ = true;
  std::erase_if(changes_,
                [this](const std::pair<const std::string, store_item>& each) {
                  return each.second.revision <= complete_since_;
                });
}

void store_change_log::Add(const store_item& item) {
  const auto known = changes_.find(item.key);
  if (known != changes_.end() && known->second.revision >= item.revision) {
    return;
  }
  changes_[item.key] = item;
  if (changes_.size() > kMaxChanges) {
    const auto oldest = std::min_element(
        changes_.begin(), changes_.end(),
        [](const std::pair<const std::string, store_item>& left,
           const std::pair<const std::string, store_item>& right) {
          return left.second.revision < right.second.revision;
        });
    complete_since_ = std::max(complete_since_, oldest->second.revision);
    changes_.erase(oldest);
  }
}

std::optional<std::vector<store_item>> store_change_log::ChangesSince(
    const store_revision& revision) const {
  if (!initialized_ || revision < complete_since_) {
    return std::nullopt;
  }
  std::vector<store_item> found;
  for (const std::pair<const std::string, store_item>& each : changes_) {
    if (each.second.revision > revision) {
      found.push_back(each.second);
    }
  }
  return found;
}

bool IsAmongRelayHosts(const std::vector<std::string>& ranked,
                       const std::string& host, std::size_t fleet) {
  if (fleet < kRelayMinHosts) {
    return true;
  }
  const std::vector<std::string> relay_hosts = RelayHosts(ranked);
  return std::find(relay_hosts.begin(), relay_hosts.end(), host) !=
         relay_hosts.end();
}

std::vector<std::string> RelayHostsFor(const std::vector<std::string>& ranked,
                                       const std::string& host) {
  return RendezvousOrder(host, RelayHosts(ranked));
}

}  // namespace sassafraswick
