#ifndef SASSAFRASWICK_GATEWAY_STORE_WATCHER_H_
#define SASSAFRASWICK_GATEWAY_STORE_WATCHER_H_

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
#include "sassafraswick/fleet/watch_schedule.h"
#include "sassafraswick/gateway/change_relay.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/store_call_recorder.h"
#include "sassafraswick/gateway/watched_prefix.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/peer/message.pb.h"
#include "sassafraswick/routing/rendezvous.h"

/// @file
/// Keeps a host's copy of the shared store up to date. In a small fleet every
/// host watches the store. In a large one a few relay hosts watch it and
/// forward the changes; the other hosts poll a relay host, and watch the store
/// themselves while their data is too old.

namespace sassafraswick {

template <gateway_platform Platform>
class store_watcher {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  store_watcher(const Platform& platform, gateway_state<codec>& gateway,
                store_call_recorder& calls,
                store_watcher_environment environment)
      : platform_(platform),
        gateway_(gateway),
        calls_(calls),
        environment_(std::move(environment)),
        relay_(environment_.respond),
        work_pending_(gateway.context.get_executor()) {}

  /// Adds a prefix to watch. Must be called before `Start`.
  void AddPrefix(watched_prefix watched) {
    prefixes_.push_back(std::make_unique<watched_prefix>(std::move(watched)));
  }

  void Start() {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      SpawnWithRestart(
          gateway_.context, "follow",
          [this, watched = each.get()] { return ReadWhenNeeded(*watched); });
    }
    SpawnWithRestart(gateway_.context, "watch",
                     [this] { return WatchContinuously(); });
    SpawnWithRestart(gateway_.context, "news",
                     [this] { return PollRelayHosts(); });
  }

  /// Schedules a read of the prefixes that are not relayed, unless this host
  /// watches the store and so receives their changes anyway.
  void RequestUnrelayedRead() {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (!each->relayed && IsKnown(each->revision) && !IsWatching()) {
        each->needs_read = true;
      }
    }
    work_pending_.NotifyAll();
  }

  /// Schedules a read of a prefix that cannot return stale data.
  void RequestLatestRead(std::string_view prefix) {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (each->prefix == prefix && !each->needs_latest) {
        each->needs_read = true;
        each->needs_latest = true;
        work_pending_.NotifyAll();
      }
    }
  }

  /// Returns when the newest complete read of a prefix that cannot be stale was
  /// sent.
  [[nodiscard]] time_point LatestReadAt(std::string_view prefix) const {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (each->prefix == prefix) {
        return each->latest_read_at;
      }
    }
    return {};
  }

  /// Returns when the copy of a prefix was last known to be current.
  [[nodiscard]] time_point CurrentAt(std::string_view prefix) const {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (each->prefix == prefix) {
        return each->confirmed_at;
      }
    }
    return {};
  }

  /// Responds to a host that polls for changes.
  void HandleRequest(const std::string& from, const std::string& route,
                     const message::news_request& request) {
    if (!IsKnown(RelayedRevision())) {
      return;
    }
    relay_.HandleRequest(from, route, request, Progress());
  }

  /// Applies the changes in a relay host's response.
  void HandleAnswer(const message::news_answer& answer) {
    const store_revision current = RelayedRevision();
    const store_revision newest{answer.era(), answer.revision()};
    if (!IsKnown(current) || newest.era < current.era) {
      return;
    }
    if (newest.era > current.era) {
      RequestRelayedRead();
      return;
    }
    RecordRelayAge(answer);
    if (newest <= current) {
      return;
    }
    if (answer.base() == 0 || answer.base() > current.number) {
      RequestRelayedRead();
      return;
    }
    std::vector<store_item> items;
    for (const message::store_change& change : answer.changes()) {
      const store_revision revision{newest.era, change.revision()};
      items.push_back({change.key(), change.value(), revision, change.lease(),
                       change.deleted()});
    }
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (each->relayed) {
        ApplyChanges(*each, items, newest);
      }
    }
    NotifySubscribers(false);
  }

  /// Starts a new era of the store. A host that watches the store reads all
  /// keys again, also if its watch still waits for changes of the earlier era;
  /// the others learn of it from their relay host.
  void BeginEra() {
    if (!IsWatching()) {
      return;
    }
    needs_full_read_ = true;
    if (watch_store_ != nullptr) {
      watch_store_->Abort();
    }
    work_pending_.NotifyAll();
  }

  /// Sends new changes to the hosts that poll this one. Every message carries
  /// the version of the configuration.
  /// @param configuration_changed Send to every subscriber, even if there are
  /// no other changes.
  void NotifySubscribers(bool configuration_changed) {
    relay_.NotifySubscribers(configuration_changed, Progress());
  }

  /// Returns whether this host watches the store itself: it is a relay host, or
  /// its data is too old.
  [[nodiscard]] bool IsWatching() {
    return IsRelayHost() ||
           monotonic_clock::now() - ConfirmedAt() > kLocalMaxAge;
  }

 private:
  static constexpr store_revision kNewestRevision{
      std::numeric_limits<store_era>::max(),
      std::numeric_limits<std::int64_t>::max()};
  /// The empty prefix matches all keys.
  static constexpr std::string_view kAllKeysPrefix{};
  /// Interval at which the loops check for a pending read or watch.
  static constexpr duration kWorkCheckInterval = std::chrono::milliseconds(200);
  /// Time after a read that may return stale data during which a further read
  /// must return the latest data.
  static constexpr duration kStaleReadCooldown = std::chrono::seconds(2);
  /// Maximum retry delay of a host that is not a relay host, for each host of
  /// the fleet and up to `kMaxRetryDelayCap`. While the store is down, no relay
  /// host has recent data, so all hosts call the store.
  static constexpr duration kMaxRetryDelayPerHost =
      std::chrono::milliseconds(10);
  static constexpr duration kMaxRetryDelayCap = std::chrono::seconds(4);

  const std::vector<std::string>& RankedHosts() {
    ranking_.SetHosts(environment_.hosts(), environment_.cores());
    return ranking_.RankedHubs("news");
  }

  [[nodiscard]] bool IsRelayHost() {
    return IsAmongRelayHosts(RankedHosts(), environment_.host,
                             environment_.hosts().size());
  }

  [[nodiscard]] duration MaxRetryDelay() {
    const std::int64_t hosts =
        static_cast<std::int64_t>(environment_.hosts().size());
    return IsRelayHost() ? kMaxStoreRetryDelay
                         : std::clamp(kMaxRetryDelayPerHost * hosts,
                                      kMaxStoreRetryDelay, kMaxRetryDelayCap);
  }

  /// Revision up to which the changes of all relayed prefixes were applied;
  /// unknown before they were read.
  [[nodiscard]] store_revision RelayedRevision() const {
    store_revision known = kNewestRevision;
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      if (each->relayed) {
        known = std::min(known, each->revision);
      }
    }
    return known;
  }

  [[nodiscard]] watch_progress Progress() const {
    return {RelayedRevision(), ConfirmedAt()};
  }

  [[nodiscard]] time_point ConfirmedAt() const {
    time_point oldest = time_point::max();
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      oldest = std::min(oldest, each->confirmed_at);
    }
    return oldest;
  }

  /// Reads a prefix again whenever its changes may have been missed.
  boost::asio::awaitable<void> ReadWhenNeeded(watched_prefix& watched) {
    const std::unique_ptr<store_type> store = MakeStore();
    duration retry_delay = kInitialStoreRetryDelay;
    while (true) {
      if (needs_full_read_ || !watched.needs_read) {
        co_await work_pending_.Wait(kWorkCheckInterval);
        continue;
      }
      const result<void> outcome = co_await Read(*store, watched);
      retry_delay = co_await BackOff(outcome, retry_delay);
    }
  }

  /// Reads all keys, then receives the changes of all prefixes by a single
  /// watch: each call is billed, including waiting and failed ones.
  boost::asio::awaitable<void> WatchContinuously() {
    watch_store_ = MakeStore();
    watch_schedule schedule;
    co_await Sleep(environment_.first_delay);
    while (true) {
      const store_revision known = WatchedRevision();
      const bool is_watching = IsKnown(known) && IsWatching();
      if (is_watching && known.era < environment_.era()) {
        needs_full_read_ = true;
      }
      if (!needs_full_read_ && !is_watching) {
        co_await work_pending_.Wait(kWorkCheckInterval);
        continue;
      }
      result<void> outcome = boost::outcome_v2::success();
      if (needs_full_read_) {
        outcome = co_await ReadAll(*watch_store_);
      } else {
        outcome = co_await WatchOnce(*watch_store_, known, schedule.Wait());
      }
      if (outcome.has_error() && !schedule.IsFailing()) {
        LogLostWatch(outcome.error());
      }
      const duration delay =
          schedule.RecordCall(outcome.has_value(), MaxRetryDelay());
      if (delay > duration::zero()) {
        co_await Sleep(delay);
      }
    }
  }

  void LogLostWatch(const error& reason) const {
    const std::chrono::milliseconds age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            monotonic_clock::now() - ConfirmedAt());
    Log(log_level::kWarning, "watch_lost",
        {{"reason", reason.message},
         {"revision", FormatRevision(WatchedRevision())},
         {"age_ms", std::to_string(age.count())}});
  }

  boost::asio::awaitable<result<void>> ReadAll(store_type& store) {
    const time_point sent_at = monotonic_clock::now();
    const result<store_page> all = co_await store.Range(
        std::string(kAllKeysPrefix), read_freshness::kLatest);
    calls_.RecordCall("range", all);
    if (!all) {
      co_return all.error();
    }
    if (all.value().revision.era < environment_.era()) {
      co_return MakeEarlierEraError();
    }
    needs_full_read_ = false;
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      store_page page;
      page.revision = all.value().revision;
      std::copy_if(all.value().items.begin(), all.value().items.end(),
                   std::back_inserter(page.items),
                   [&each](const store_item& item) {
                     return item.key.starts_with(each->prefix);
                   });
      each->needs_read = false;
      each->needs_latest = false;
      ApplySnapshot(*each, page);
      RecordLatestRead(*each, sent_at);
    }
    NotifySubscribers(false);
    co_return boost::outcome_v2::success();
  }

  /// Applies a complete read, unless newer data was applied already.
  void ApplySnapshot(watched_prefix& watched, const store_page& page) {
    if (page.revision < watched.revision) {
      return;
    }
    watched.apply_snapshot(page);
    AdvanceRevision(watched, page.revision);
    if (watched.relayed) {
      relay_.Changes().Reset(page.revision);
    }
  }

  static void RecordLatestRead(watched_prefix& watched, time_point sent_at) {
    watched.confirmed_at = std::max(watched.confirmed_at, sent_at);
    watched.latest_read_at = std::max(watched.latest_read_at, sent_at);
  }

  /// Sleeps after a failed call.
  /// @return The delay after the next failure.
  boost::asio::awaitable<duration> BackOff(result<void> outcome,
                                           duration retry_delay) {
    if (outcome) {
      co_return kInitialStoreRetryDelay;
    }
    co_await Sleep(retry_delay);
    co_return NextRetryDelay(retry_delay, MaxRetryDelay());
  }

  /// Revision up to which the changes of all prefixes were applied; unknown
  /// while a prefix has to be read.
  [[nodiscard]] store_revision WatchedRevision() const {
    store_revision known = kNewestRevision;
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      known =
          std::min(known, each->needs_read ? store_revision() : each->revision);
    }
    return known;
  }

  [[nodiscard]] std::unique_ptr<store_type> MakeStore() {
    return platform_.MakeStore(gateway_.context.get_executor(),
                               environment_.observe_era);
  }

  static error MakeEarlierEraError() {
    return MakeError(error_kind::kUnavailable,
                     "the store answered from an earlier era");
  }

  /// Reads a prefix whose changes may have been missed.
  boost::asio::awaitable<result<void>> Read(store_type& store,
                                            watched_prefix& watched) {
    watched.needs_read = false;
    const time_point sent_at = monotonic_clock::now();
    // A cheaper read that may return stale data is tried first. If another read
    // is requested soon, peers know of something newer, so that one reads the
    // latest data.
    const bool may_be_stale =
        !watched.needs_latest &&
        sent_at - watched.stale_read_at > kStaleReadCooldown;
    const read_freshness freshness =
        may_be_stale ? read_freshness::kMaybeStale : read_freshness::kLatest;
    if (may_be_stale) {
      watched.stale_read_at = sent_at;
    }
    const result<store_page> page =
        co_await store.Range(watched.prefix, freshness);
    calls_.RecordCall("range", page);
    if (!page || page.value().revision.era < environment_.era()) {
      watched.needs_read = true;
      co_return page ? MakeEarlierEraError() : page.error();
    }
    ApplySnapshot(watched, page.value());
    if (freshness == read_freshness::kLatest) {
      watched.needs_latest = false;
      RecordLatestRead(watched, sent_at);
    }
    NotifySubscribers(false);
    co_return boost::outcome_v2::success();
  }

  boost::asio::awaitable<result<void>> WatchOnce(store_type& store,
                                                 store_revision known,
                                                 duration wait) {
    const result<store_page> page =
        co_await store.Watch(std::string(kAllKeysPrefix), known.number, wait);
    calls_.RecordCall("watch", page);
    if (!page) {
      if (page.error().kind == error_kind::kNotFound) {
        Log(log_level::kInfo, "store_history_lost",
            {{"revision", FormatRevision(known)}});
        needs_full_read_ = true;
        co_return boost::outcome_v2::success();
      }
      co_return page.error();
    }
    if (page.value().revision.era != known.era) {
      needs_full_read_ = true;
      co_return boost::outcome_v2::success();
    }
    const time_point now = monotonic_clock::now();
    bool changed = false;
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      each->confirmed_at = now;
      const bool applied_any =
          ApplyChanges(*each, page.value().items, page.value().revision);
      changed = changed || (applied_any && each->relayed);
    }
    NotifySubscribers(false);
    if (changed) {
      const std::int64_t hosts =
          static_cast<std::int64_t>(environment_.hosts().size());
      co_await Sleep(std::min(kChangePausePerHost * hosts, kMaxChangePause));
    }
    co_return boost::outcome_v2::success();
  }

  static void AdvanceRevision(watched_prefix& watched,
                              const store_revision& revision) {
    watched.revision = std::max(watched.revision, revision);
  }

  /// Applies changes that are newer than the prefix's revision.
  /// @return Whether there were any.
  bool ApplyChanges(watched_prefix& watched,
                    const std::vector<store_item>& items,
                    const store_revision& revision) {
    store_page new_changes;
    new_changes.revision = revision;
    for (const store_item& item : items) {
      if (item.revision > watched.revision &&
          item.key.starts_with(watched.prefix)) {
        new_changes.items.push_back(item);
        if (watched.relayed) {
          relay_.Changes().Add(item);
        }
      }
    }
    const bool has_changes = !new_changes.items.empty();
    if (has_changes) {
      watched.apply_changes(new_changes);
    }
    AdvanceRevision(watched, revision);
    return has_changes;
  }

  /// Schedules a read of all relayed prefixes.
  void RequestRelayedRead() {
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      each->needs_read = each->needs_read || each->relayed;
    }
    work_pending_.NotifyAll();
  }

  /// Polls a relay host at intervals, which also subscribes this host to
  /// changes.
  boost::asio::awaitable<void> PollRelayHosts() {
    while (true) {
      co_await Sleep(kChangePollInterval);
      const store_revision known = RelayedRevision();
      if (IsRelayHost() || !IsKnown(known)) {
        continue;
      }
      const time_point now = monotonic_clock::now();
      const std::vector<std::string> relay_hosts =
          RelayHostsFor(RankedHosts(), environment_.host);
      std::vector<std::string> candidates;
      std::copy_if(relay_hosts.begin(), relay_hosts.end(),
                   std::back_inserter(candidates),
                   [this, now](const std::string& each) {
                     return !excluded_until_.contains(each) ||
                            now > excluded_until_[each];
                   });
      const std::string relay_host =
          gateway_.hubs.FirstResponsive(candidates, now);
      if (relay_host.empty()) {
        continue;
      }
      gateway_.hubs.RecordRequest(relay_host, now);
      polled_host_ = relay_host;
      polled_at_ = now;
      message::envelope envelope;
      envelope.mutable_news_request()->set_era(known.era);
      envelope.mutable_news_request()->set_revision(known.number);
      envelope.mutable_news_request()->set_stamp(++stamp_);
      environment_.send(relay_host, std::move(envelope));
    }
  }

  /// Records how old the data of the polled relay host is.
  void RecordRelayAge(const message::news_answer& answer) {
    if (answer.stamp() != stamp_) {
      return;
    }
    const duration age(static_cast<std::int64_t>(answer.age_us()));
    if (age > kRelayMaxAge) {
      excluded_until_[polled_host_] = monotonic_clock::now() + kRelayMaxAge;
      return;
    }
    for (const std::unique_ptr<watched_prefix>& each : prefixes_) {
      each->confirmed_at = std::max(each->confirmed_at, polled_at_ - age);
    }
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  store_call_recorder& calls_;
  store_watcher_environment environment_;
  std::vector<std::unique_ptr<watched_prefix>> prefixes_;
  change_relay relay_;
  /// Client of the watch and of complete reads.
  std::unique_ptr<store_type> watch_store_;
  /// Ranks the hubs; the first ones are the relay hosts.
  hub_ranking ranking_;
  async_event work_pending_;
  /// Set before the first read, and when the store has dropped history that the
  /// watch needs.
  bool needs_full_read_ = true;
  /// The latest poll of a relay host.
  std::string polled_host_;
  time_point polled_at_;
  std::uint64_t stamp_ = 0;
  /// Relay hosts whose data was too old, and until when others are polled
  /// instead.
  std::map<std::string, time_point> excluded_until_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STORE_WATCHER_H_
