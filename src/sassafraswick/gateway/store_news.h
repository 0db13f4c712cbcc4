#ifndef SASSAFRASWICK_GATEWAY_STORE_NEWS_H_
#define SASSAFRASWICK_GATEWAY_STORE_NEWS_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/core/log.h"
#include "sassafraswick/fleet/store_change_log.h"
#include "sassafraswick/gateway/followed_prefix.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/news_relay.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/store_calls.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/peer/message.pb.h"
#include "sassafraswick/routing/rendezvous.h"

/// @file
/// How a host learns of changes in the store: by watching it, or in a large
/// fleet from one of a few hosts that do. Hosts that hear nothing new enough
/// watch the store themselves until they do again.

namespace sassafraswick {

template <gateway_platform Platform>
class store_news {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  store_news(const Platform& platform, gateway_state<codec>& gateway,
             store_calls& calls, news_environment environment)
      : platform_(platform),
        gateway_(gateway),
        calls_(calls),
        environment_(std::move(environment)),
        relay_(environment_.answer),
        wanted_(gateway.context.get_executor()) {}

  /// Follows a prefix; to be called before `Start`.
  void Add(followed_prefix followed) {
    followed_.push_back(std::make_unique<followed_prefix>(std::move(followed)));
  }

  void Start() {
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      SpawnLoop(gateway_.context, "follow",
                [this, followed = each.get()] { return KeepRead(*followed); });
    }
    SpawnLoop(gateway_.context, "watch", [this] { return KeepWatching(); });
    SpawnLoop(gateway_.context, "news", [this] { return AskFollowers(); });
  }

  /// Has what is not relayed read again.
  void Reload() {
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      if (!each->relayed && each->revision != 0 && !Watches()) {
        each->reload = true;
      }
    }
    wanted_.NotifyAll();
  }

  /// Answers a host that does not follow the store.
  void Handle(const std::string& from, const std::string& route,
              const message::news_request& request) {
    if (KnownRevision() == 0) {
      return;
    }
    relay_.Handle(from, route, request, State());
  }

  /// Takes over what a follower said.
  void Take(const message::news_answer& answer) {
    if (KnownRevision() == 0) {
      return;
    }
    NoteAge(answer);
    if (answer.revision() <= KnownRevision()) {
      return;
    }
    if (answer.base() == 0 || answer.base() > KnownRevision()) {
      AskToReload();
      return;
    }
    std::vector<store_item> items;
    for (const message::store_change& change : answer.changes()) {
      items.push_back({change.key(), change.value(), change.revision(),
                       change.lease(), change.deleted()});
    }
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      if (each->relayed) {
        TakeItems(*each, items, answer.revision());
      }
    }
    TellAll(false);
  }

  /// Tells hosts that ask this one of changes. Every message names the version
  /// of the configuration.
  /// @param version_rose Tell all, also if there are no other changes.
  void TellAll(bool version_rose) { relay_.TellAll(version_rose, State()); }

  /// Tells whether this host watches the store.
  [[nodiscard]] bool Watches() {
    return IsOwnFollower() ||
           monotonic_clock::now() - ConfirmedAt() > kLocalMaxAge;
  }

 private:
  /// Prefix of all keys.
  static constexpr std::string_view kEveryPrefix{};
  /// Time between two looks whether something has to be read or watched.
  static constexpr duration kWantedTick = std::chrono::milliseconds(200);
  /// Time after a reading that may be old in which the next one must not be.
  static constexpr duration kOldReadRest = std::chrono::seconds(2);
  /// Longest pause of a host that is no follower after a failed call, a host of
  /// the fleet: if the store is away, all hosts come to ask it.
  static constexpr duration kRetryPerHost = std::chrono::milliseconds(10);
  static constexpr duration kLongestRetry = std::chrono::seconds(4);

  const std::vector<std::string>& Ranked() {
    ranking_.SetHosts(environment_.hosts());
    return ranking_.RankedHubs("news");
  }

  [[nodiscard]] bool IsOwnFollower() {
    return IsAmongRelayHosts(Ranked(), environment_.host,
                             environment_.hosts().size());
  }

  [[nodiscard]] duration RetryLimit() {
    const std::int64_t hosts =
        static_cast<std::int64_t>(environment_.hosts().size());
    return IsOwnFollower() ? kStoreRetryLimit
                           : std::clamp(kRetryPerHost * hosts, kStoreRetryLimit,
                                        kLongestRetry);
  }

  [[nodiscard]] std::int64_t KnownRevision() const {
    std::int64_t known = 0;
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      if (each->relayed) {
        known = known == 0 ? each->revision : std::min(known, each->revision);
        if (each->revision == 0) {
          return 0;
        }
      }
    }
    return known;
  }

  [[nodiscard]] news_state State() const {
    return {KnownRevision(), ConfirmedAt()};
  }

  [[nodiscard]] time_point ConfirmedAt() const {
    time_point oldest = time_point::max();
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      oldest = std::min(oldest, each->confirmed_at);
    }
    return oldest;
  }

  /// Reads a prefix whenever its changes are lost.
  boost::asio::awaitable<void> KeepRead(followed_prefix& followed) {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    duration retry = kStoreRetry;
    while (true) {
      if (reads_all_ || !followed.reload) {
        co_await wanted_.Wait(kWantedTick);
        continue;
      }
      const result<void> outcome = co_await Read(*store, followed);
      retry = co_await Rest(outcome, retry);
    }
  }

  /// Reads everything and follows its changes by one watch: each call is
  /// priced, those that wait and those that fail as well.
  boost::asio::awaitable<void> KeepWatching() {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    duration retry = kStoreRetry;
    co_await Sleep(environment_.first_delay);
    while (true) {
      const std::int64_t known = FollowedRevision();
      if (!reads_all_ && (known == 0 || !Watches())) {
        co_await wanted_.Wait(kWantedTick);
        continue;
      }
      result<void> outcome = boost::outcome_v2::success();
      if (reads_all_) {
        outcome = co_await ReadAll(*store);
      } else {
        outcome = co_await WatchOnce(*store, known);
      }
      retry = co_await Rest(outcome, retry);
    }
  }

  boost::asio::awaitable<result<void>> ReadAll(store_type& store) {
    const time_point sent_at = monotonic_clock::now();
    const result<store_page> all =
        co_await store.Range(std::string(kEveryPrefix), read_age::kNewest);
    calls_.Note("range", all);
    if (!all) {
      co_return all.error();
    }
    reads_all_ = false;
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      store_page page;
      page.revision = all.value().revision;
      std::copy_if(all.value().items.begin(), all.value().items.end(),
                   std::back_inserter(page.items),
                   [&each](const store_item& item) {
                     return item.key.starts_with(each->prefix);
                   });
      each->reload = false;
      TakePage(*each, page);
      each->confirmed_at = std::max(each->confirmed_at, sent_at);
    }
    TellAll(false);
    co_return boost::outcome_v2::success();
  }

  /// Takes over a reading, unless more is known already.
  void TakePage(followed_prefix& followed, const store_page& page) {
    if (page.revision < followed.revision) {
      return;
    }
    followed.load(page);
    Advance(followed, page.revision);
    if (followed.relayed) {
      relay_.Changes().Reset(page.revision);
    }
  }

  /// Pauses after a failed call.
  /// @return The pause after the next failure.
  boost::asio::awaitable<duration> Rest(result<void> outcome, duration pause) {
    if (outcome) {
      co_return kStoreRetry;
    }
    co_await Sleep(pause);
    co_return std::min(pause * 2, RetryLimit());
  }

  /// Revision up to which everything that is followed was taken over; 0 while
  /// something has to be read.
  [[nodiscard]] std::int64_t FollowedRevision() const {
    std::int64_t known = std::numeric_limits<std::int64_t>::max();
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      known = std::min(known, each->reload ? 0 : each->revision);
    }
    return known;
  }

  /// Reads a prefix whose changes were lost.
  boost::asio::awaitable<result<void>> Read(store_type& store,
                                            followed_prefix& followed) {
    followed.reload = false;
    const time_point sent_at = monotonic_clock::now();
    // Peers say what is newest: a reading that may be old is tried first, and
    // if they ask for another one soon, it was too old.
    const bool may_be_old = sent_at - followed.read_old_at > kOldReadRest;
    const read_age age = may_be_old ? read_age::kMaybeOld : read_age::kNewest;
    if (may_be_old) {
      followed.read_old_at = sent_at;
    }
    const result<store_page> page = co_await store.Range(followed.prefix, age);
    calls_.Note("range", page);
    if (!page) {
      followed.reload = true;
      co_return page.error();
    }
    TakePage(followed, page.value());
    if (age == read_age::kNewest) {
      followed.confirmed_at = std::max(followed.confirmed_at, sent_at);
    }
    TellAll(false);
    co_return boost::outcome_v2::success();
  }

  boost::asio::awaitable<result<void>> WatchOnce(store_type& store,
                                                 std::int64_t known) {
    const bool large = environment_.hosts().size() >= kRelayMinHosts;
    const duration wait = large ? kRelayHostWatchTimeout : kWatchWait;
    const result<store_page> page =
        co_await store.Watch(std::string(kEveryPrefix), known, wait);
    calls_.Note("watch", page);
    if (!page) {
      if (page.error().kind == error_kind::kNotFound) {
        Log(log_level::kInfo, "store_history_lost",
            {{"revision", std::to_string(known)}});
        reads_all_ = true;
        co_return boost::outcome_v2::success();
      }
      co_return page.error();
    }
    const time_point now = monotonic_clock::now();
    bool changed = false;
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      each->confirmed_at = now;
      const bool took =
          TakeItems(*each, page.value().items, page.value().revision);
      changed = changed || (took && each->relayed);
    }
    TellAll(false);
    if (changed) {
      const std::int64_t hosts =
          static_cast<std::int64_t>(environment_.hosts().size());
      co_await Sleep(std::min(kChangePause * hosts, kChangePauseLimit));
    }
    co_return boost::outcome_v2::success();
  }

  static void Advance(followed_prefix& followed, std::int64_t revision) {
    followed.revision = std::max(followed.revision, revision);
  }

  /// Takes over changes that are not known yet.
  /// @return Whether there were any.
  bool TakeItems(followed_prefix& followed,
                 const std::vector<store_item>& items, std::int64_t revision) {
    store_page fresh;
    fresh.revision = revision;
    for (const store_item& item : items) {
      if (item.revision > followed.revision &&
          item.key.starts_with(followed.prefix)) {
        fresh.items.push_back(item);
        if (followed.relayed) {
          relay_.Changes().Add(item);
        }
      }
    }
    const bool any = !fresh.items.empty();
    if (any) {
      followed.take(fresh);
    }
    Advance(followed, revision);
    return any;
  }

  /// Has what is relayed read again.
  void AskToReload() {
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      each->reload = each->reload || each->relayed;
    }
    wanted_.NotifyAll();
  }

  /// Asks a follower at intervals, so that it tells this host of changes.
  boost::asio::awaitable<void> AskFollowers() {
    while (true) {
      co_await Sleep(kChangePollInterval);
      if (IsOwnFollower() || KnownRevision() == 0) {
        continue;
      }
      const time_point now = monotonic_clock::now();
      const std::vector<std::string> order =
          RelayHostsFor(Ranked(), environment_.host);
      std::vector<std::string> fit;
      std::copy_if(order.begin(), order.end(), std::back_inserter(fit),
                   [this, now](const std::string& each) {
                     return !stale_until_.contains(each) ||
                            now > stale_until_[each];
                   });
      const std::string asked = gateway_.contacts.FirstResponsive(fit, now);
      if (asked.empty()) {
        continue;
      }
      gateway_.contacts.RecordQuery(asked, now);
      asked_ = asked;
      asked_at_ = now;
      message::envelope envelope;
      envelope.mutable_news_request()->set_revision(KnownRevision());
      envelope.mutable_news_request()->set_stamp(++stamp_);
      environment_.send(asked, std::move(envelope));
    }
  }

  /// Takes over how new a follower's knowledge is.
  void NoteAge(const message::news_answer& answer) {
    if (answer.stamp() != stamp_) {
      return;
    }
    const duration age(static_cast<std::int64_t>(answer.age_us()));
    if (age > kRelayMaxAge) {
      stale_until_[asked_] = monotonic_clock::now() + kRelayMaxAge;
      return;
    }
    for (const std::unique_ptr<followed_prefix>& each : followed_) {
      each->confirmed_at = std::max(each->confirmed_at, asked_at_ - age);
    }
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  store_calls& calls_;
  news_environment environment_;
  std::vector<std::unique_ptr<followed_prefix>> followed_;
  news_relay relay_;
  /// Hosts that follow the store in the order of this name.
  hub_ranking ranking_;
  async_event wanted_;
  /// Nothing was read yet, or the store has dropped changes.
  bool reads_all_ = true;
  /// The newest question to a follower.
  std::string asked_;
  time_point asked_at_;
  std::uint64_t stamp_ = 0;
  /// Followers whose knowledge was too old, and until when others are asked.
  std::map<std::string, time_point> stale_until_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STORE_NEWS_H_
