#include "sassafraswick/gateway/news_relay.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace sassafraswick {
namespace {

/// Time after its last question for which a host is told of changes.
constexpr duration kForgetSubscriber = 4 * kChangePollInterval;

}  // namespace

void news_relay::Handle(const std::string& from, const std::string& route,
                        const message::news_request& request,
                        const news_state& known) {
  subscriber& asking = subscribers_[from];
  asking = {route, request.revision(), request.stamp(), monotonic_clock::now()};
  Tell(asking, known);
}

void news_relay::TellAll(bool version_rose, const news_state& known) {
  const time_point now = monotonic_clock::now();
  std::erase_if(subscribers_,
                [now](const std::pair<const std::string, subscriber>& each) {
                  return now - each.second.asked_at > kForgetSubscriber;
                });
  for (std::pair<const std::string, subscriber>& each : subscribers_) {
    const std::optional<std::vector<store_item>> changes =
        log_.ChangesSince(each.second.revision);
    if (version_rose || (changes.has_value() && !changes->empty())) {
      Tell(each.second, known);
    }
  }
}

void news_relay::Tell(subscriber& to, const news_state& known) {
  message::envelope envelope;
  message::news_answer& answer = *envelope.mutable_news_answer();
  const std::optional<std::vector<store_item>> changes =
      log_.ChangesSince(to.revision);
  answer.set_revision(known.revision);
  answer.set_stamp(to.stamp);
  const duration age = std::chrono::duration_cast<duration>(
      monotonic_clock::now() - known.confirmed_at);
  answer.set_age_us(static_cast<std::uint64_t>(age.count()));
  if (changes.has_value()) {
    answer.set_base(to.revision);
    for (const store_item& item : *changes) {
      message::store_change& change = *answer.add_changes();
      change.set_key(item.key);
      change.set_value(item.value);
      change.set_revision(item.revision);
      change.set_lease(item.lease);
      change.set_deleted(item.deleted);
    }
    to.revision = std::max(to.revision, answer.revision());
  }
  answer_(to.route, std::move(envelope));
}

}  // namespace sassafraswick
