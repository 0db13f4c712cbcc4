#include "sassafraswick/gateway/change_relay.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace sassafraswick {
namespace {

/// Time after its last request for which a host is sent changes.
constexpr duration kSubscriberTimeout = 4 * kChangePollInterval;

}  // namespace

void change_relay::HandleRequest(const std::string& from,
                                 const std::string& route,
                                 const message::news_request& request,
                                 const watch_progress& progress) {
  subscriber& requester = subscribers_[from];
  requester = {route,
               {request.era(), request.revision()},
               request.stamp(),
               monotonic_clock::now()};
  Notify(requester, progress);
}

void change_relay::NotifySubscribers(bool configuration_changed,
                                     const watch_progress& progress) {
  const time_point now = monotonic_clock::now();
  std::erase_if(subscribers_,
                [now](const std::pair<const std::string, subscriber>& each) {
                  return now - each.second.last_request_at > kSubscriberTimeout;
                });
  for (std::pair<const std::string, subscriber>& each : subscribers_) {
    const std::optional<std::vector<store_item>> changes =
        log_.ChangesSince(each.second.revision);
    if (configuration_changed || (changes.has_value() && !changes->empty())) {
      Notify(each.second, progress);
    }
  }
}

void change_relay::Notify(subscriber& receiver,
                          const watch_progress& progress) {
  message::envelope envelope;
  message::news_answer& answer = *envelope.mutable_news_answer();
  const std::optional<std::vector<store_item>> changes =
      log_.ChangesSince(receiver.revision);
  answer.set_era(progress.revision.era);
  answer.set_revision(progress.revision.number);
  answer.set_stamp(receiver.stamp);
  const duration age = std::chrono::duration_cast<duration>(
      monotonic_clock::now() - progress.confirmed_at);
  answer.set_age_us(static_cast<std::uint64_t>(age.count()));
  if (changes.has_value()) {
    answer.set_base(receiver.revision.number);
    for (const store_item& item : *changes) {
      message::store_change& change = *answer.add_changes();
      change.set_key(item.key);
      change.set_value(item.value);
      change.set_revision(item.revision.number);
      change.set_lease(item.lease);
      change.set_deleted(item.deleted);
    }
    receiver.revision = std::max(receiver.revision, progress.revision);
  }
  respond_(receiver.route, std::move(envelope));
}

}  // namespace sassafraswick
