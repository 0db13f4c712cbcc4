#include "test/sassafraswick/failover/promotion_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/gateway/registry.h"

namespace promotion_model {
namespace {

using sassafraswick::duration;
using sassafraswick::instance_status;
using sassafraswick::log_point;
using sassafraswick::primary_view;
using sassafraswick::replacement_action;
using sassafraswick::replacement_action_kind;
using sassafraswick::replacement_phase;
using sassafraswick::term_number;
using sassafraswick::time_point;
using std::chrono::milliseconds;

constexpr std::size_t kInstanceCount = 3;
/// Maximum time from a promotion call to its effect; the platform specifies 640
/// ms. The simulation draws shorter times too, since no guarantee may depend on
/// promotions being slow.
constexpr duration kMaxPromotionDelay = milliseconds(640);
constexpr duration kTickInterval = milliseconds(50);
constexpr duration kStatusInterval = milliseconds(150);
constexpr duration kControlTimeout = milliseconds(400);
constexpr duration kLeaseTtl = milliseconds(3000);
/// Time after which an old primary that can reach the new one joins it.
constexpr duration kOldPrimaryRejoinDelay = milliseconds(1000);
constexpr duration kMeanOperationInterval = milliseconds(15);
constexpr duration kMaxStaleness = milliseconds(1500);
/// Part of a run in which no fault starts: 2.5 s at its start, the rest at its
/// end. A fault lasts up to 4.8 s, so that a run ends without faults.
constexpr duration kQuietPeriod = milliseconds(15'000);
/// Time before the end within which each host must have had a write
/// acknowledged.
constexpr duration kMaxTimeSinceWrite = milliseconds(2000);
/// Bounds of the check of a read: the number of most recent acknowledged writes
/// that it must contain, and the number of last log entries that are searched.
constexpr std::size_t kMaxWritesChecked = 100;
constexpr std::size_t kMaxLogEntriesChecked = 20'000;

/// One log entry. `number` is unique within a run, so that a discarded entry
/// differs from the entry that replaces it at its position.
struct log_entry {
  term_number term = 0;
  std::uint64_t number = 0;
};

struct instance {
  std::string id;
  bool running = true;
  bool is_primary = false;
  term_number term = 1;
  term_number paused_term = 0;
  std::vector<log_entry> log;
  /// Number of entries visible to readers; a replica applies entries later than
  /// it receives them.
  std::size_t applied = 0;
  std::uint64_t incarnation = 0;

  [[nodiscard]] log_point LogEnd() const {
    return {term, static_cast<sassafraswick::log_position>(log.size())};
  }
};

/// A write that no replica has confirmed yet.
struct pending_write {
  log_entry written;
  std::size_t end = 0;
  term_number term = 0;
  std::uint64_t incarnation = 0;
  std::function<void(log_point)> acknowledge;
};

struct host {
  std::string name;
  time_point paused_until;
  /// When this host last acknowledged a write.
  time_point last_write_at;
  primary_view view;
  sassafraswick::host_registry registry;
  sassafraswick::held_lease lease;
  sassafraswick::store_era_tracker eras{true};
  bool registry_read_pending = false;
  sassafraswick::replacement_state replacement;
  bool is_watching = false;
  bool registration_pending = false;
  bool renewal_pending = false;
  bool proof_pending = false;
  std::map<std::string, sassafraswick::instance_health> health;
  std::map<std::string, time_point> requested_at;
  std::map<std::string, time_point> answered_at;
};

struct store_state {
  sassafraswick::store_era era = 1;
  bool down = false;
  bool leases_frozen = false;
  time_point down_since;
  std::uint64_t next_lease = 1;
  std::int64_t revision = 1;
  std::map<std::uint64_t, time_point> leases;
  std::string holder;
  std::int64_t holder_revision = 0;
  std::uint64_t holder_lease = 0;
};

/// The store as it was at a time.
struct store_copy {
  time_point made_at;
  store_state state;
};

/// Response of an instance to any request.
struct status_response {
  instance_status status;
  log_point position;
};

class model {
 public:
  explicit model(const model_options& options)
      : options_(options), random_(options.seed), now_(milliseconds(1000)) {}

  model_report Run() {
    for (std::size_t i = 0; i < kInstanceCount; ++i) {
      instances_.push_back({"i" + std::to_string(i), true, i == 0, 1, 0, {}});
    }
    for (std::size_t i = 0; i < options_.hosts; ++i) {
      hosts_.push_back(host());
      hosts_.back().name = "h" + std::to_string(i);
    }
    for (host& each : hosts_) {
      each.registry.loaded = true;
      each.registry.failover.vacant_since = now_;
      each.registry.era = store_.era;
      each.eras.Observe(store_.era, now_);
      for (const host& other : hosts_) {
        each.registry.names.push_back(other.name);
        each.registry.hosts[other.name] = sassafraswick::endpoint();
      }
      After(RandomDuration(milliseconds(50)), [this, &each] { Tick(each); });
      After(RandomDuration(milliseconds(50)),
            [this, &each] { RunOperation(each); });
    }
    for (instance& each : instances_) {
      After(milliseconds(20), [this, &each] { ApplyLog(each); });
    }
    After(milliseconds(50), [this] { ExpireLeases(); });
    After(milliseconds(50), [this] { CopyStore(); });
    for (std::size_t i = 0; i < options_.faults; ++i) {
      After(milliseconds(2500) + RandomDuration(options_.length - kQuietPeriod),
            [this] { InjectFault(); });
    }
    const time_point end = now_ + options_.length;
    while (!events_.empty() && events_.top().at < end) {
      const event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.work();
    }
    for (const host& each : hosts_) {
      if (end - each.last_write_at > kMaxTimeSinceWrite) {
        ReportViolation("no recent write acknowledged by " + each.name +
                        " though all faults ended");
      }
    }
    const bool is_held =
        std::any_of(hosts_.begin(), hosts_.end(),
                    [this](const host& each) { return HoldsFailover(each); });
    if (!is_held) {
      ReportViolation(
          "no host holds the failover lease though all faults ended");
    }
    return std::move(report_);
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> work;
    friend bool operator<(const event& left, const event& right) {
      return std::tie(left.at, left.order) > std::tie(right.at, right.order);
    }
  };

  void After(duration span, std::function<void()> work) {
    events_.push({now_ + span, ++order_, std::move(work)});
  }

  /// Schedules work at a host; while the host is paused, the work is deferred.
  void AtHost(host& self, duration span, std::function<void()> work) {
    After(span, [this, &self, work = std::move(work)] {
      if (now_ < self.paused_until) {
        AtHost(self,
               std::chrono::duration_cast<duration>(self.paused_until - now_) +
                   milliseconds(1),
               work);
      } else {
        work();
      }
    });
  }

  duration RandomDuration(duration max_duration) {
    return duration(std::uniform_int_distribution<std::int64_t>(
        0, std::max<std::int64_t>(max_duration.count(), 1))(random_));
  }

  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
  }

  /// Returns the delay of a message; a small fraction is delayed by much more.
  duration MessageDelay() {
    return Chance(2) ? milliseconds(20) + RandomDuration(milliseconds(250))
                     : milliseconds(1) + RandomDuration(milliseconds(3));
  }

  bool IsPartitioned(const std::string& one, const std::string& other) const {
    return partitions_.contains({one, other}) ||
           partitions_.contains({other, one});
  }

  void Trace(const std::string& text) {
    report_.trace.push_back(std::to_string(Milliseconds()) + " " + text);
  }

  void ReportViolation(const std::string& text) {
    report_.violations.push_back(std::to_string(Milliseconds()) + " " + text);
    Trace("VIOLATION " + text);
  }

  [[nodiscard]] std::int64_t Milliseconds() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
        .count();
  }

  instance& Find(const std::string& id) {
    return *std::find_if(instances_.begin(), instances_.end(),
                         [&id](const instance& each) { return each.id == id; });
  }

  // Database group.

  [[nodiscard]] static status_response MakeResponse(const instance& each) {
    return {
        {each.term, each.is_primary, each.LogEnd(), each.paused_term},
        {each.term, static_cast<sassafraswick::log_position>(each.applied)}};
  }

  void ApplyLog(instance& each) {
    if (each.running) {
      each.applied = each.log.size();
    }
    After(each.is_primary ? milliseconds(1)
                          : milliseconds(5) + RandomDuration(max_apply_delay_),
          [this, &each] { ApplyLog(each); });
  }

  void Write(instance& primary, std::function<void(log_point)> acknowledge) {
    primary.log.push_back({primary.term, ++last_number_});
    primary.applied = primary.log.size();
    pending_writes_.push_back({primary.log.back(), primary.log.size(),
                               primary.term, primary.incarnation,
                               std::move(acknowledge)});
    Replicate(primary);
  }

  /// Sends the primary's whole log to each replica that accepts entries.
  void Replicate(instance& primary) {
    for (instance& each : instances_) {
      if (&each == &primary) {
        continue;
      }
      const std::vector<log_entry> log = primary.log;
      const term_number term = primary.term;
      After(MessageDelay(), [this, &primary, &each, log, term] {
        const bool receives = each.running && each.paused_term == 0 &&
                              !each.is_primary && each.term == term &&
                              !not_receiving_.contains(each.id) &&
                              !IsPartitioned(primary.id, each.id);
        if (!receives) {
          return;
        }
        if (log.size() > each.log.size()) {
          each.log = log;
        }
        After(MessageDelay(), [this, &primary, term, end = log.size()] {
          ConfirmReplication(primary, term, end);
        });
      });
    }
  }

  /// Handles a replica's confirmation of the primary's log up to `end`.
  void ConfirmReplication(instance& primary, term_number term,
                          std::size_t end) {
    std::vector<pending_write> waiting;
    waiting.swap(pending_writes_);
    for (pending_write& each : waiting) {
      const bool confirmed = primary.running && primary.is_primary &&
                             primary.term == term && each.term == term &&
                             each.incarnation == primary.incarnation &&
                             each.end <= end;
      if (!confirmed) {
        if (each.term == term) {
          pending_writes_.push_back(std::move(each));
        }
        continue;
      }
      // The instance itself now reports the write as committed, even if it has
      // been replaced.
      if (primary.term < newest_term_) {
        commits_after_replacement_.insert(each.written.number);
      }
      each.acknowledge(primary.LogEnd());
    }
  }

  void CompletePromotion(const std::string& id) {
    instance& chosen = Find(id);
    if (!chosen.running || chosen.is_primary) {
      return;
    }
    const term_number term = ++newest_term_;
    Trace("promoted " + id + " to term " + std::to_string(term));
    ++report_.promotions;
    for (const std::uint64_t number : acknowledged_) {
      const bool contained = std::any_of(
          chosen.log.begin(), chosen.log.end(),
          [number](const log_entry& each) { return each.number == number; });
      if (!contained) {
        ReportViolation("acknowledged write " + std::to_string(number) +
                        " is not in " + id + ", which was promoted");
        break;
      }
    }
    chosen.is_primary = true;
    chosen.term = term;
    chosen.paused_term = 0;
    for (instance& each : instances_) {
      if (&each != &chosen) {
        JoinNewPrimary(each, chosen);
      }
    }
  }

  /// Makes an instance join the new primary once it can reach it. An old
  /// primary joins after an additional delay.
  void JoinNewPrimary(instance& each, instance& primary) {
    const duration wait =
        each.is_primary ? kOldPrimaryRejoinDelay : MessageDelay();
    After(wait, [this, &each, &primary] {
      if (!primary.running || !primary.is_primary ||
          each.term >= primary.term) {
        return;
      }
      // An instance that paused replication for a later term ignores this one.
      const bool is_paused = each.paused_term > primary.term;
      if (!each.running || is_paused || IsPartitioned(each.id, primary.id)) {
        JoinNewPrimary(each, primary);
        return;
      }
      each.is_primary = false;
      each.term = primary.term;
      each.paused_term = 0;
      each.log = primary.log;
      each.applied = std::min(each.applied, each.log.size());
    });
  }

  // Requests from hosts to instances.

  /// Sends a request that has an effect on an instance. Calls `on_response`
  /// with the response, or with nothing after `kControlTimeout`.
  void SendRequest(
      host& from, const std::string& id, std::function<void(instance&)> effect,
      std::function<void(std::optional<status_response>)> on_response) {
    const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
    const auto complete = [is_done, on_response = std::move(on_response)](
                              const std::optional<status_response>& response) {
      if (!std::exchange(*is_done, true)) {
        on_response(response);
      }
    };
    AtHost(from, kControlTimeout, [complete] { complete(std::nullopt); });
    After(MessageDelay(),
          [this, &from, id, effect = std::move(effect), complete] {
            instance& to = Find(id);
            if (!to.running || unresponsive_.contains(id) ||
                IsPartitioned(from.name, id)) {
              return;
            }
            effect(to);
            const status_response response = MakeResponse(to);
            const duration back = MessageDelay();
            if (Chance(1) || IsPartitioned(from.name, id)) {
              return;
            }
            AtHost(from, back, [complete, response] { complete(response); });
          });
  }

  void RecordResponse(host& self, const std::string& id,
                      const status_response& response,
                      time_point requested_at) {
    self.answered_at[id] = now_;
    sassafraswick::instance_health& health = self.health[id];
    health.id = id;
    health.silent_since.reset();
    if (response.position.term > self.view.term) {
      RecordNotPrimary(self.view, id, response.position.term);
    }
    RecordPosition(self.view, id, response.position, requested_at);
  }

  void RequestStatus(
      host& self, const std::string& id,
      std::function<void(std::optional<status_response>)> on_response = nullptr,
      std::function<void(instance&)> effect = [](instance&) {}) {
    const time_point requested_at = now_;
    SendRequest(
        self, id, std::move(effect),
        [this, &self, id, requested_at, on_response = std::move(on_response)](
            std::optional<status_response> response) {
          sassafraswick::instance_health& health = self.health[id];
          health.id = id;
          if (response.has_value()) {
            RecordResponse(self, id, *response, requested_at);
            if (!health.status.has_value() ||
                requested_at >= health.requested_at) {
              health.status = response->status;
              health.requested_at = requested_at;
            }
            if (response->status.is_primary) {
              RecordPrimary(self.view, id, response->status.term);
            } else {
              RecordNotPrimary(self.view, id, response->status.term);
            }
          } else if (self.answered_at[id] <= requested_at &&
                     !health.silent_since.has_value()) {
            health.silent_since = requested_at;
          }
          if (on_response) {
            on_response(response);
          }
        });
  }

  // Periodic work of hosts.

  void Tick(host& self) {
    MaintainLease(self);
    Watch(self);
    const bool unknown = self.view.primary.empty();
    for (const instance& each : instances_) {
      if (unknown && now_ - self.requested_at[each.id] > kStatusInterval) {
        self.requested_at[each.id] = now_;
        RequestStatus(self, each.id);
      }
    }
    AtHost(self, kTickInterval, [this, &self] { Tick(self); });
  }

  [[nodiscard]] bool HoldsFailover(const host& self) const {
    const bool named =
        self.registry.failover.holder == self.name &&
        self.registry.failover.lease == self.lease.id &&
        self.registry.failover.fencing_token.era == self.lease.era &&
        self.lease.era == self.eras.Current();
    const bool in_time = now_ < self.lease.ValidUntil() ||
                         options_.bug == injected_bug::kIgnoreLeaseExpiry;
    return named && in_time;
  }

  void Watch(host& self) {
    if (!HoldsFailover(self)) {
      self.is_watching = false;
      return;
    }
    if (!self.is_watching) {
      self.is_watching = true;
      self.replacement = sassafraswick::replacement_state();
      self.health.clear();
      Trace(self.name + " observes the group");
    }
    for (const instance& each : instances_) {
      if (now_ - self.requested_at[each.id] > kStatusInterval) {
        self.requested_at[each.id] = now_;
        RequestStatus(self, each.id);
      }
    }
    const bool skip_wait =
        options_.bug == injected_bug::kSkipLeaseWait &&
        self.replacement.phase == replacement_phase::kWaiting;
    const time_point tick_time =
        skip_wait ? now_ + sassafraswick::kPrimaryLeaseDuration : now_;
    // All instances are listed from the start.
    if (!store_.down && !IsPartitioned(self.name, "store")) {
      self.replacement.list_read_at = now_;
    }
    for (replacement_action& action : AdvanceReplacement(
             self.replacement, GroupHealth(self), settings_, tick_time)) {
      ExecuteAction(self, action);
    }
  }

  [[nodiscard]] static sassafraswick::group_health GroupHealth(
      const host& self) {
    sassafraswick::group_health health;
    for (std::size_t i = 0; i < kInstanceCount; ++i) {
      const std::string id = "i" + std::to_string(i);
      const auto found = self.health.find(id);
      health.push_back(found == self.health.end()
                           ? sassafraswick::instance_health()
                           : found->second);
      health.back().id = id;
    }
    return health;
  }

  void ExecuteAction(host& self, const replacement_action& action) {
    if (action.kind == replacement_action_kind::kPromote) {
      Promote(self, action);
      return;
    }
    RequestStatus(
        self, action.instance,
        [this, &self, action](const std::optional<status_response>& response) {
          if (response.has_value() && self.is_watching) {
            RecordFenced(self.replacement, GroupHealth(self), action,
                         response->status, now_);
          }
        },
        [this, action](instance& to) {
          Trace("action " + std::to_string(static_cast<int>(action.kind)) +
                " of term " + std::to_string(action.term) + " at " + to.id);
          if (action.kind == replacement_action_kind::kStepDown) {
            const bool steps_down = to.is_primary && to.term < action.term;
            to.is_primary = to.is_primary && !steps_down;
          } else if (action.kind ==
                     replacement_action_kind::kPauseReplication) {
            to.paused_term = action.term > to.term && !to.is_primary
                                 ? action.term
                                 : to.paused_term;
          } else {
            to.paused_term = 0;
            ReplicateAll();
          }
        });
  }

  /// Replicates from all primaries, so that a replica that accepts entries
  /// again catches up and pending writes complete.
  void ReplicateAll() {
    for (instance& each : instances_) {
      if (each.is_primary && each.running) {
        Replicate(each);
      }
    }
  }

  void Promote(host& self, replacement_action action) {
    if (!HoldsFailover(self)) {
      return;
    }
    if (options_.bug == injected_bug::kPromoteAnyInstance) {
      for (const instance& each : instances_) {
        const auto known = self.health.find(each.id);
        const bool responds = known != self.health.end() &&
                              !known->second.silent_since.has_value();
        if (responds && each.id != self.replacement.primary) {
          action.instance = each.id;
        }
      }
    }
    for (const host& other : hosts_) {
      const bool runs = now_ >= other.paused_until;
      if (&other != &self && runs && HoldsFailover(other)) {
        ReportViolation(self.name + " promotes while " + other.name +
                        " holds the failover lease too");
      }
    }
    const std::int64_t token =
        ToFencingToken(self.registry.failover.fencing_token);
    Trace(self.name + " requests promotion of " + action.instance +
          " with token " + std::to_string(token));
    After(MessageDelay(), [this, &self, action, token] {
      if (token < highest_token_) {
        ReportViolation("a promotion request arrived with token " +
                        std::to_string(token) + " after " +
                        std::to_string(highest_token_));
      }
      highest_token_ = std::max(highest_token_, token);
      const bool runs = Find(action.instance).running;
      if (runs) {
        After(RandomDuration(kMaxPromotionDelay),
              [this, action] { CompletePromotion(action.instance); });
      }
      AtHost(self, MessageDelay(), [this, &self, action, runs] {
        if (self.is_watching) {
          RecordPromoted(self.replacement, action,
                         runs ? sassafraswick::order_result::kAccepted
                              : sassafraswick::order_result::kNotRunning,
                         now_);
        }
      });
    });
  }

  // Store and leases.

  /// Calls the store. A call whose response is lost may still take effect, up
  /// to seconds later.
  void CallStore(host& from, std::function<bool()> effect,
                 std::function<void(bool answered, bool applied)> on_response) {
    const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
    const auto complete = [is_done, on_response = std::move(on_response)](
                              bool answered, bool applied) {
      if (!std::exchange(*is_done, true)) {
        on_response(answered, applied);
      }
    };
    AtHost(from, milliseconds(1000), [complete] { complete(false, false); });
    const bool response_lost = store_loses_calls_ && Chance(40);
    const duration delay =
        response_lost ? milliseconds(100) + RandomDuration(milliseconds(3000))
                      : milliseconds(5) + MessageDelay();
    After(delay, [this, &from, effect = std::move(effect), complete,
                  response_lost] {
      if (store_.down ||
          (!response_lost && IsPartitioned(from.name, "store"))) {
        return;
      }
      const bool applied = effect();
      const sassafraswick::store_era era = StoreEra();
      if (!response_lost) {
        AtHost(from, MessageDelay(), [this, &from, complete, applied, era] {
          ObserveEra(from, era);
          complete(true, applied);
        });
      }
    });
  }

  /// Era that hosts read from the store's responses.
  [[nodiscard]] sassafraswick::store_era StoreEra() const {
    return options_.bug == injected_bug::kIgnoreStoreEra ? 1 : store_.era;
  }

  void ObserveEra(host& self, sassafraswick::store_era era) {
    const bool is_new = self.eras.Observe(era, now_);
    if (is_new && self.lease.id != 0) {
      Trace(self.name + " drops its lease in era " + std::to_string(era));
      self.lease = sassafraswick::held_lease();
    }
    if (self.registry.era < self.eras.Current()) {
      ReadRegistry(self);
    }
  }

  /// Reads the holder of the failover lease again in a new era.
  void ReadRegistry(host& self) {
    if (self.registry_read_pending) {
      return;
    }
    self.registry_read_pending = true;
    const std::shared_ptr<sassafraswick::store_page> page =
        std::make_shared<sassafraswick::store_page>();
    CallStore(
        self,
        [this, page] {
          page->revision = {StoreEra(), store_.revision};
          if (!store_.holder.empty()) {
            page->items.push_back(HolderItem());
          }
          return true;
        },
        [this, &self, page](bool answered, bool) {
          self.registry_read_pending = false;
          const bool is_current =
              answered && page->revision.era == self.eras.Current();
          if (is_current && self.registry.era < page->revision.era) {
            LoadRegistry(self.registry, *page, now_);
          } else if (self.registry.era < self.eras.Current()) {
            ReadRegistry(self);
          }
        });
  }

  /// Keeps copies of the store, from which `RestoreStore` restores it.
  void CopyStore() {
    constexpr std::size_t kMaxCopies = 10;
    copies_.push_back({now_, store_});
    if (copies_.size() > kMaxCopies) {
      copies_.erase(copies_.begin());
    }
    After(milliseconds(500), [this] { CopyStore(); });
  }

  /// Restores the store from an older copy, after it was unavailable.
  void RestoreStore(duration unavailable) {
    store_.down = true;
    store_.leases_frozen = true;
    const store_copy restored = copies_[random_() % copies_.size()];
    After(unavailable, [this, restored] {
      const sassafraswick::store_era era = store_.era + 1;
      store_ = restored.state;
      store_.era = era;
      store_.down = false;
      for (std::pair<const std::uint64_t, time_point>& each : store_.leases) {
        each.second += now_ - restored.made_at;
      }
      Trace("store restored from a copy, era " + std::to_string(era));
    });
  }

  [[nodiscard]] sassafraswick::store_item HolderItem() const {
    sassafraswick::store_item item;
    item.key = std::string(sassafraswick::kFailoverKey);
    item.value = store_.holder;
    item.revision = {StoreEra(), store_.holder_revision};
    item.lease = store_.holder_lease;
    item.deleted = store_.holder.empty();
    return item;
  }

  void MaintainLease(host& self) {
    const time_point sent_at = now_;
    if (self.lease.id == 0 && !self.registration_pending) {
      self.registration_pending = true;
      const std::shared_ptr<std::uint64_t> lease_id =
          std::make_shared<std::uint64_t>(0);
      const std::shared_ptr<sassafraswick::store_era> lease_era =
          std::make_shared<sassafraswick::store_era>(0);
      CallStore(
          self,
          [this, lease_id, lease_era] {
            *lease_id = store_.next_lease++;
            *lease_era = StoreEra();
            store_.leases[*lease_id] = now_ + kLeaseTtl;
            return true;
          },
          [&self, lease_id, lease_era, sent_at](bool answered, bool) {
            self.registration_pending = false;
            if (answered && *lease_era == self.eras.Current()) {
              self.lease = {*lease_id, *lease_era, kLeaseTtl, sent_at};
            }
          });
    } else if (self.lease.id != 0 && !self.renewal_pending &&
               now_ - self.lease.renewed_at > kLeaseTtl / 3) {
      self.renewal_pending = true;
      const std::uint64_t id = self.lease.id;
      CallStore(
          self,
          [this, id] {
            const auto found = store_.leases.find(id);
            if (found != store_.leases.end()) {
              found->second = now_ + kLeaseTtl;
            }
            return found != store_.leases.end();
          },
          [&self, sent_at, id](bool answered, bool kept) {
            self.renewal_pending = false;
            if (answered && self.lease.id == id) {
              self.lease = kept ? sassafraswick::held_lease{id, self.lease.era,
                                                            kLeaseTtl, sent_at}
                                : sassafraswick::held_lease();
            }
          });
    }
    if (IsStrayHolder(self.registry, self.name, self.lease, self.eras)) {
      ReleaseStrayRecord(self);
    }
    if (self.lease.id != 0 && self.registry.era == self.eras.Current() &&
        self.eras.HaveEarlierLeasesEnded(kLeaseTtl, now_) &&
        ShouldClaimFailover(self.registry, self.name, now_)) {
      ClaimFailover(self);
    }
  }

  void ReleaseStrayRecord(host& self) {
    const std::int64_t revision = self.registry.failover.fencing_token.number;
    CallStore(
        self,
        [this, revision] {
          const bool applies = store_.holder_revision == revision;
          if (applies) {
            store_.holder.clear();
            store_.holder_lease = 0;
            store_.holder_revision = ++store_.revision;
            PublishHolder();
          }
          return applies;
        },
        [](bool, bool) {});
  }

  void ClaimFailover(host& self) {
    const std::uint64_t lease = self.lease.id;
    // Allows one attempt at a time by deferring the next one as if the vacancy
    // had just begun.
    self.registry.failover.vacant_since = now_ + milliseconds(1000);
    CallStore(
        self,
        [this, &self, lease] {
          const bool applies =
              store_.holder.empty() && store_.leases.contains(lease);
          if (applies) {
            store_.holder = self.name;
            store_.holder_lease = lease;
            store_.holder_revision = ++store_.revision;
            PublishHolder();
          }
          return applies;
        },
        [](bool, bool) {});
  }

  /// Notifies every host that can reach the store of the failover lease's
  /// holder.
  void PublishHolder() {
    for (host& each : hosts_) {
      Notify(each, HolderItem());
    }
  }

  void Notify(host& to, const sassafraswick::store_item& item) {
    AtHost(to, MessageDelay(), [this, &to, item] {
      if (store_.down || IsPartitioned(to.name, "store")) {
        After(milliseconds(300), [this, &to, item] { Notify(to, item); });
        return;
      }
      ObserveEra(to, item.revision.era);
      if (item.revision.era == to.registry.era) {
        ApplyRegistryItem(to.registry, item, now_);
      }
    });
  }

  void ExpireLeases() {
    const bool frozen = store_.down && store_.leases_frozen;
    if (frozen) {
      for (std::pair<const std::uint64_t, time_point>& each : store_.leases) {
        each.second += milliseconds(20);
      }
    }
    std::erase_if(
        store_.leases,
        [this](const std::pair<const std::uint64_t, time_point>& each) {
          return each.second <= now_;
        });
    if (!store_.holder.empty() &&
        !store_.leases.contains(store_.holder_lease)) {
      store_.holder.clear();
      store_.holder_lease = 0;
      store_.holder_revision = ++store_.revision;
      Trace("failover lease expired");
      PublishHolder();
    }
    After(milliseconds(20), [this] { ExpireLeases(); });
  }

  // Operations of callers.

  void RunOperation(host& self) {
    if (!self.view.primary.empty()) {
      const int kind = std::uniform_int_distribution<int>(0, 2)(random_);
      if (kind == 0) {
        SendWrite(self);
      } else if (kind == 1) {
        SendPrimaryRead(self);
      } else {
        SendBoundedRead(self);
      }
    }
    AtHost(self, RandomDuration(kMeanOperationInterval * 2),
           [this, &self] { RunOperation(self); });
  }

  void SendWrite(host& self) {
    const time_point requested_at = now_;
    const std::string id = self.view.primary;
    After(MessageDelay(), [this, &self, id, requested_at] {
      instance& to = Find(id);
      if (!to.running || !to.is_primary || unresponsive_.contains(id) ||
          IsPartitioned(self.name, id)) {
        return;
      }
      const std::uint64_t number = last_number_ + 1;
      Write(to, [this, &self, id, number, requested_at](log_point end) {
        if (unresponsive_.contains(id) || IsPartitioned(self.name, id)) {
          return;
        }
        AtHost(self, MessageDelay(),
               [this, &self, id, number, requested_at, end] {
                 Acknowledge(self, id, number, end, requested_at);
               });
      });
    });
  }

  /// Handles the response to a write and acknowledges the write to the caller.
  void Acknowledge(host& self, const std::string& id, std::uint64_t number,
                   log_point end, time_point requested_at) {
    const status_response response{{}, end};
    RecordResponse(self, id, response, requested_at);
    RecordPrimary(self.view, id, end.term);
    if (id == self.view.primary) {
      RecordProof(self.view, end.term, requested_at);
    }
    if (commits_after_replacement_.contains(number)) {
      ReportViolation("write " + std::to_string(number) + " was committed at " +
                      id + " after it was replaced, and acknowledged by " +
                      self.name);
    }
    acknowledged_.insert(number);
    self.last_write_at = now_;
    acknowledged_at_[number] = now_;
    ++report_.writes_acknowledged;
  }

  /// Returns writes acknowledged before `moment`, which a read must contain.
  [[nodiscard]] std::vector<std::uint64_t> RequiredWrites(
      time_point moment) const {
    std::vector<std::uint64_t> required;
    // Newest first. Older writes are covered by the check at each promotion.
    for (auto each = acknowledged_at_.rbegin();
         each != acknowledged_at_.rend() && required.size() < kMaxWritesChecked;
         ++each) {
      if (each->second < moment) {
        required.push_back(each->first);
      }
    }
    return required;
  }

  /// Returns a required write that is not visible on an instance, if any.
  [[nodiscard]] std::optional<std::uint64_t> FindMissingWrite(
      const instance& source, const std::vector<std::uint64_t>& required) {
    ++check_stamp_;
    entry_stamps_.resize(last_number_ + 1);
    for (std::size_t i =
             source.applied - std::min(source.applied, kMaxLogEntriesChecked);
         i < source.applied; ++i) {
      entry_stamps_[source.log[i].number] = check_stamp_;
    }
    for (const std::uint64_t number : required) {
      if (entry_stamps_[number] != check_stamp_) {
        return number;
      }
    }
    return std::nullopt;
  }

  void SendPrimaryRead(host& self) {
    const time_point requested_at = now_;
    const std::string id = self.view.primary;
    const std::vector<std::uint64_t> required = RequiredWrites(now_);
    const std::shared_ptr<std::optional<std::uint64_t>> missing =
        std::make_shared<std::optional<std::uint64_t>>();
    SendRequest(
        self, id,
        [this, missing, required](instance& to) {
          *missing = FindMissingWrite(to, required);
        },
        [this, &self, id, requested_at,
         missing](std::optional<status_response> response) {
          if (response.has_value()) {
            RecordResponse(self, id, *response, requested_at);
            CompleteRead(self, id, response->position.term, requested_at,
                         *missing);
          }
        });
  }

  /// Completes a read once the primary lease is valid, as a host does. Retries
  /// until then, for up to 2 s.
  void CompleteRead(host& self, const std::string& id, term_number term,
                    time_point requested_at,
                    const std::optional<std::uint64_t>& missing) {
    const bool unchanged = self.view.term == term && self.view.primary == id;
    const bool lease_valid = IsPrimaryLeaseValid(self.view, id, term, now_);
    if (options_.bug != injected_bug::kIgnorePrimaryLease && !lease_valid) {
      if (unchanged && now_ - requested_at < milliseconds(2000)) {
        RequestProof(self);
        AtHost(self, milliseconds(5),
               [this, &self, id, term, requested_at, missing] {
                 CompleteRead(self, id, term, requested_at, missing);
               });
      }
      return;
    }
    ++report_.reads_answered;
    if (missing.has_value()) {
      ReportViolation("read at " + id + " by " + self.name + " lacks write " +
                      std::to_string(*missing));
    }
  }

  void RequestProof(host& self) {
    if (self.proof_pending || self.view.primary.empty()) {
      return;
    }
    self.proof_pending = true;
    const time_point requested_at = now_;
    const std::string id = self.view.primary;
    RequestStatus(
        self, id,
        [this, &self, id, requested_at](std::optional<status_response> first) {
          const bool is_primary = first.has_value() && first->status.is_primary;
          if (!is_primary) {
            self.proof_pending = false;
            return;
          }
          std::string replica;
          for (const instance& each : instances_) {
            if (each.id != id && (replica.empty() || Chance(50))) {
              replica = each.id;
            }
          }
          const term_number term = first->status.term;
          RequestStatus(self, replica,
                        [&self, requested_at,
                         term](std::optional<status_response> other) {
                          self.proof_pending = false;
                          if (other.has_value() && other->status.term == term &&
                              other->status.paused_term == 0) {
                            RecordProof(self.view, term, requested_at);
                          }
                        });
        });
  }

  void SendBoundedRead(host& self) {
    const std::optional<log_point> required_position =
        RequiredPosition(self.view, now_ - kMaxStaleness, std::nullopt);
    if (!required_position.has_value()) {
      RequestProof(self);
      return;
    }
    const std::vector<std::uint64_t> required =
        RequiredWrites(now_ - kMaxStaleness);
    const std::string id = "i" + std::to_string(random_() % kInstanceCount);
    const time_point requested_at = now_;
    const std::shared_ptr<bool> is_behind = std::make_shared<bool>(false);
    const std::shared_ptr<std::optional<std::uint64_t>> missing =
        std::make_shared<std::optional<std::uint64_t>>();
    SendRequest(
        self, id,
        [this, required_position, is_behind, missing, required](instance& to) {
          const log_point end = MakeResponse(to).position;
          // Positions continue to increase across terms. A later term alone
          // does not show that the instance has reached the required position.
          *is_behind = end.term < required_position->term ||
                       end.position < required_position->position;
          *missing = FindMissingWrite(to, required);
        },
        [this, &self, id, requested_at, is_behind,
         missing](std::optional<status_response> response) {
          if (!response.has_value()) {
            return;
          }
          RecordResponse(self, id, *response, requested_at);
          if (*is_behind) {
            return;
          }
          ++report_.reads_answered;
          if (missing->has_value()) {
            ReportViolation("bounded read at " + id + " by " + self.name +
                            " lacks write " + std::to_string(**missing));
          }
        });
  }

  // Fault injection.

  void InjectFault() {
    const duration length =
        milliseconds(300) + RandomDuration(milliseconds(4500));
    const auto current_primary =
        std::find_if(instances_.begin(), instances_.end(),
                     [](const instance& each) { return each.is_primary; });
    instance& primary = current_primary == instances_.end() ? instances_.front()
                                                            : *current_primary;
    instance& other = instances_[random_() % kInstanceCount];
    host& victim = hosts_[random_() % hosts_.size()];
    host& holder = Holder();
    switch (std::uniform_int_distribution<int>(0, 12)(random_)) {
      case 0:
        return Crash(primary, length);
      case 11:
        return Crash(other, length);
      case 12:
        // A primary that crashes before or after the return makes the holders
        // of both eras act.
        After(RandomDuration(milliseconds(3000)),
              [this, &primary, length] { Crash(primary, length); });
        return RestoreStore(RandomDuration(milliseconds(800)));
      case 1:
        return InjectInstanceFault(unresponsive_, primary.id, length,
                                   "unresponsive:");
      case 2:
        return InjectInstanceFault(not_receiving_, other.id, length,
                                   "not receiving entries:");
      case 3:
        for (const instance& each : instances_) {
          Partition(primary.id, each.id, length);
        }
        return;
      case 4:
        return Partition(victim.name, primary.id, length);
      case 5:
        Partition(holder.name, primary.id, length);
        return Partition(holder.name, "store", length);
      case 6:
        return Partition(victim.name, "store", length);
      case 7:
        Trace(holder.name + " paused " + std::to_string(length.count()));
        holder.paused_until = now_ + length;
        return;
      case 8:
        Trace(victim.name + " paused " + std::to_string(length.count()));
        victim.paused_until = now_ + length;
        return;
      case 9:
        Trace("store unavailable");
        store_.down = true;
        store_.leases_frozen = Chance(50);
        After(length, [this] { store_.down = false; });
        return;
      default:
        Trace("store loses responses");
        store_loses_calls_ = true;
        After(length, [this] { store_loses_calls_ = false; });
        return;
    }
  }

  host& Holder() {
    for (host& each : hosts_) {
      if (each.name == store_.holder) {
        return each;
      }
    }
    return hosts_.front();
  }

  void Crash(instance& each, duration length) {
    Trace("crash " + each.id);
    each.running = false;
    After(length, [this, &each] {
      each.running = true;
      each.paused_term = 0;
      ++each.incarnation;
      Trace("restart " + each.id);
      const bool replaced = each.term < newest_term_;
      if (replaced) {
        each.is_primary = false;
      }
      for (instance& other : instances_) {
        if (other.is_primary && &other != &each && other.term > each.term) {
          JoinNewPrimary(each, other);
        }
      }
    });
  }

  void InjectInstanceFault(std::set<std::string>& affected,
                           const std::string& id, duration length,
                           const std::string& what) {
    Trace(what + " " + id);
    affected.insert(id);
    After(length, [this, &affected, id] {
      affected.erase(id);
      ReplicateAll();
    });
  }

  void Partition(const std::string& one, const std::string& other,
                 duration length) {
    if (one == other) {
      return;
    }
    Trace("partition " + one + " " + other);
    partitions_.insert({one, other});
    After(length, [this, one, other] {
      const auto found = partitions_.find({one, other});
      if (found != partitions_.end()) {
        partitions_.erase(found);
      }
      ReplicateAll();
    });
  }

  model_options options_;
  std::mt19937_64 random_;
  time_point now_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::vector<instance> instances_;
  std::vector<host> hosts_;
  std::vector<pending_write> pending_writes_;
  std::set<std::uint64_t> commits_after_replacement_;
  std::set<std::uint64_t> acknowledged_;
  std::map<std::uint64_t, time_point> acknowledged_at_;
  /// For each entry, the number of the last check that found it; avoids
  /// clearing a set for each check.
  std::vector<std::uint64_t> entry_stamps_;
  std::uint64_t check_stamp_ = 0;
  std::uint64_t last_number_ = 0;
  term_number newest_term_ = 1;
  std::int64_t highest_token_ = 0;
  store_state store_;
  std::vector<store_copy> copies_;
  bool store_loses_calls_ = false;
  std::multiset<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> unresponsive_;
  std::set<std::string> not_receiving_;
  duration max_apply_delay_ = milliseconds(40);
  sassafraswick::replacement_settings settings_;
  model_report report_;
};

}  // namespace

model_report RunSimulation(const model_options& options) {
  return model(options).Run();
}

}  // namespace promotion_model
