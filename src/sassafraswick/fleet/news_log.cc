#include "sassafraswick/fleet/news_log.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Most keys that a log remembers; the oldest changes go first. Four times the
/// hosts and instances of a fleet of 1,200.
constexpr std::size_t kMostChanges = 8192;

std::vector<std::string> Followers(const std::vector<std::string>& ranked) {
  const std::size_t count = std::min(kFollowers, ranked.size());
  return {ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace

void news_log::Restart(std::int64_t revision) {
  // Two prefixes are read one after the other; the log is whole since the later
  // reading.
  begins_at_ = std::max(begins_at_, revision);
  started_ = true;
  std::erase_if(changes_,
                [this](const std::pair<const std::string, store_item>& each) {
                  return each.second.revision <= begins_at_;
                });
}

void news_log::Add(const store_item& item) {
  const auto known = changes_.find(item.key);
  if (known != changes_.end() && known->second.revision >= item.revision) {
    return;
  }
  changes_[item.key] = item;
  if (changes_.size() > kMostChanges) {
    const auto oldest = std::min_element(
        changes_.begin(), changes_.end(),
        [](const std::pair<const std::string, store_item>& left,
           const std::pair<const std::string, store_item>& right) {
          return left.second.revision < right.second.revision;
        });
    begins_at_ = std::max(begins_at_, oldest->second.revision);
    changes_.erase(oldest);
  }
}

std::optional<std::vector<store_item>> news_log::Since(
    std::int64_t revision) const {
  if (!started_ || revision < begins_at_) {
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

bool IsFollower(const std::vector<std::string>& ranked, const std::string& host,
                std::size_t fleet) {
  if (fleet < kRelayedFleet) {
    return true;
  }
  const std::vector<std::string> followers = Followers(ranked);
  return std::find(followers.begin(), followers.end(), host) != followers.end();
}

std::vector<std::string> FollowersFor(const std::vector<std::string>& ranked,
                                      const std::string& host) {
  return RendezvousOrder(host, Followers(ranked));
}

}  // namespace sassafraswick
