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

constexpr std::size_t kInstances = 3;
/// Longest time from a promotion call to its effect; the platform's notes say
/// 640 ms. Nothing may rest on its taking long.
constexpr duration kPromotionTime = milliseconds(640);
constexpr duration kTick = milliseconds(50);
constexpr duration kAskInterval = milliseconds(150);
constexpr duration kAskLimit = milliseconds(400);
constexpr duration kLeaseTime = milliseconds(3000);
/// Time after which an old primary that reaches the new one gives up.
constexpr duration kOldPrimaryLearns = milliseconds(1000);
constexpr duration kOperationInterval = milliseconds(15);
constexpr duration kMaxStaleness = milliseconds(1500);
/// Calm at the end of a run, after the start of the last fault; a fault lasts
/// up to 4.8 s.
constexpr duration kCalmEnd = milliseconds(15'000);
/// Part of the end in which every host must have a write acknowledged.
constexpr duration kMustServe = milliseconds(2000);
/// Newest acknowledged writes that a read is checked for, and newest entries of
/// a log among which they are looked for.
constexpr std::size_t kWritesChecked = 100;
constexpr std::size_t kLogChecked = 20'000;

/// One entry; `number` is unique over the run, so rolled-back entries differ
/// from those that take their place.
struct entry {
  term_number term = 0;
  std::uint64_t number = 0;
};

struct instance {
  std::string id;
  bool running = true;
  bool leads = false;
  term_number term = 1;
  term_number held = 0;
  std::vector<entry> log;
  /// Entries that readers see; a replica applies later than it receives.
  std::size_t applied = 0;
  std::uint64_t life = 0;

  [[nodiscard]] log_point End() const {
    return {term, static_cast<sassafraswick::log_position>(log.size())};
  }
};

/// A write that waits for a replica.
struct pending_write {
  entry written;
  std::size_t end = 0;
  term_number term = 0;
  std::uint64_t life = 0;
  std::function<void(log_point)> acknowledge;
};

struct host {
  std::string name;
  time_point paused_until;
  /// When a write through it was acknowledged last.
  time_point served_at;
  primary_view view;
  sassafraswick::host_registry registry;
  sassafraswick::held_lease lease;
  sassafraswick::replacement_state replacement;
  bool watches = false;
  bool registering = false;
  bool renewing = false;
  bool proving = false;
  std::map<std::string, sassafraswick::instance_health> health;
  std::map<std::string, time_point> asked_at;
  std::map<std::string, time_point> answered_at;
};

struct store_state {
  bool down = false;
  bool leases_pause = false;
  time_point down_since;
  std::uint64_t next_lease = 1;
  std::int64_t revision = 1;
  std::map<std::uint64_t, time_point> leases;
  std::string holder;
  std::int64_t holder_revision = 0;
  std::uint64_t holder_lease = 0;
};

/// What an instance answers to any question.
struct reply {
  instance_status status;
  log_point position;
};

class model {
 public:
  explicit model(const model_options& options)
      : options_(options), random_(options.seed), now_(milliseconds(1000)) {}

  model_report Run() {
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back({"i" + std::to_string(i), true, i == 0, 1, 0, {}});
    }
    for (std::size_t i = 0; i < options_.hosts; ++i) {
      hosts_.push_back(host());
      hosts_.back().name = "h" + std::to_string(i);
    }
    for (host& each : hosts_) {
      each.registry.loaded = true;
      each.registry.failover.vacant_since = now_;
      for (const host& other : hosts_) {
        each.registry.names.push_back(other.name);
      }
      After(Spread(milliseconds(50)), [this, &each] { Tick(each); });
      After(Spread(milliseconds(50)), [this, &each] { Operate(each); });
    }
    for (instance& each : instances_) {
      After(milliseconds(20), [this, &each] { Apply(each); });
    }
    After(milliseconds(50), [this] { ExpireLeases(); });
    for (std::size_t i = 0; i < options_.faults; ++i) {
      After(milliseconds(2500) + Spread(options_.length - kCalmEnd),
            [this] { Fault(); });
    }
    const time_point end = now_ + options_.length;
    while (!events_.empty() && events_.top().at < end) {
      const event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.work();
    }
    for (const host& each : hosts_) {
      if (end - each.served_at > kMustServe) {
        Break("no write through " + each.name + " though all faults ended");
      }
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

  /// Runs at a host, later if the host is paused then.
  void AtHost(host& at, duration span, std::function<void()> work) {
    After(span, [this, &at, work = std::move(work)] {
      if (now_ < at.paused_until) {
        AtHost(at,
               std::chrono::duration_cast<duration>(at.paused_until - now_) +
                   milliseconds(1),
               work);
      } else {
        work();
      }
    });
  }

  duration Spread(duration most) {
    return duration(std::uniform_int_distribution<std::int64_t>(
        0, std::max<std::int64_t>(most.count(), 1))(random_));
  }

  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
  }

  /// Time of a message; now and then one is very late.
  duration Delay() {
    return Chance(2) ? milliseconds(20) + Spread(milliseconds(250))
                     : milliseconds(1) + Spread(milliseconds(3));
  }

  bool IsCut(const std::string& one, const std::string& other) const {
    return cuts_.contains({one, other}) || cuts_.contains({other, one});
  }

  void Trace(const std::string& text) {
    report_.trace.push_back(std::to_string(Milliseconds()) + " " + text);
  }

  void Break(const std::string& text) {
    report_.broken.push_back(std::to_string(Milliseconds()) + " " + text);
    Trace("BROKEN " + text);
  }

  [[nodiscard]] std::int64_t Milliseconds() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
        .count();
  }

  instance& Find(const std::string& id) {
    return *std::find_if(instances_.begin(), instances_.end(),
                         [&id](const instance& each) { return each.id == id; });
  }

  // The group.

  [[nodiscard]] static reply Describe(const instance& each) {
    return {
        {each.term, each.leads, each.End(), each.held},
        {each.term, static_cast<sassafraswick::log_position>(each.applied)}};
  }

  void Apply(instance& each) {
    if (each.running) {
      each.applied = each.log.size();
    }
    After(each.leads ? milliseconds(1) : milliseconds(5) + Spread(apply_lag_),
          [this, &each] { Apply(each); });
  }

  void Write(instance& primary, std::function<void(log_point)> acknowledge) {
    primary.log.push_back({primary.term, ++last_number_});
    primary.applied = primary.log.size();
    pending_.push_back({primary.log.back(), primary.log.size(), primary.term,
                        primary.life, std::move(acknowledge)});
    Replicate(primary);
  }

  /// Sends the primary's whole log to each replica that receives.
  void Replicate(instance& primary) {
    for (instance& each : instances_) {
      if (&each == &primary) {
        continue;
      }
      const std::vector<entry> log = primary.log;
      const term_number term = primary.term;
      After(Delay(), [this, &primary, &each, log, term] {
        const bool receives = each.running && each.held == 0 && !each.leads &&
                              each.term == term && !deaf_.contains(each.id) &&
                              !IsCut(primary.id, each.id);
        if (!receives) {
          return;
        }
        if (log.size() > each.log.size()) {
          each.log = log;
        }
        After(Delay(), [this, &primary, term, end = log.size()] {
          Confirm(primary, term, end);
        });
      });
    }
  }

  /// A replica has received the primary's log up to `end`.
  void Confirm(instance& primary, term_number term, std::size_t end) {
    std::vector<pending_write> waiting;
    waiting.swap(pending_);
    for (pending_write& each : waiting) {
      const bool confirmed = primary.running && primary.leads &&
                             primary.term == term && each.term == term &&
                             each.life == primary.life && each.end <= end;
      if (!confirmed) {
        if (each.term == term) {
          pending_.push_back(std::move(each));
        }
        continue;
      }
      // From here on the instance itself may say that it is done.
      if (primary.term < newest_term_) {
        replaced_commits_.insert(each.written.number);
      }
      each.acknowledge(primary.End());
    }
  }

  void PromoteNow(const std::string& id) {
    instance& chosen = Find(id);
    if (!chosen.running || chosen.leads) {
      return;
    }
    const term_number term = ++newest_term_;
    Trace("promoted " + id + " to term " + std::to_string(term));
    ++report_.promotions;
    for (const std::uint64_t number : acknowledged_) {
      const bool there = std::any_of(
          chosen.log.begin(), chosen.log.end(),
          [number](const entry& each) { return each.number == number; });
      if (!there) {
        Break("acknowledged write " + std::to_string(number) + " is not in " +
              id + ", which was promoted");
        break;
      }
    }
    chosen.leads = true;
    chosen.term = term;
    chosen.held = 0;
    for (instance& each : instances_) {
      if (&each != &chosen) {
        FollowNewPrimary(each, chosen);
      }
    }
  }

  /// An instance that reaches the new primary joins it; an old primary only
  /// after a while.
  void FollowNewPrimary(instance& each, instance& primary) {
    const duration wait = each.leads ? kOldPrimaryLearns : Delay();
    After(wait, [this, &each, &primary] {
      if (!primary.running || !primary.leads || each.term >= primary.term) {
        return;
      }
      // Told to stop receiving for a later term, it learns of nothing.
      const bool is_held = each.held > primary.term;
      if (!each.running || is_held || IsCut(each.id, primary.id)) {
        FollowNewPrimary(each, primary);
        return;
      }
      each.leads = false;
      each.term = primary.term;
      each.held = 0;
      each.log = primary.log;
      each.applied = std::min(each.applied, each.log.size());
    });
  }

  // Questions of hosts to instances.

  /// Sends something to an instance; `done` gets the answer, or nothing once
  /// the limit has passed.
  void Ask(host& from, const std::string& id,
           std::function<void(instance&)> effect,
           std::function<void(std::optional<reply>)> done) {
    const std::shared_ptr<bool> settled = std::make_shared<bool>(false);
    const auto settle =
        [settled, done = std::move(done)](const std::optional<reply>& answer) {
          if (!std::exchange(*settled, true)) {
            done(answer);
          }
        };
    AtHost(from, kAskLimit, [settle] { settle(std::nullopt); });
    After(Delay(), [this, &from, id, effect = std::move(effect), settle] {
      instance& to = Find(id);
      if (!to.running || dark_.contains(id) || IsCut(from.name, id)) {
        return;
      }
      effect(to);
      const reply answer = Describe(to);
      const duration back = Delay();
      if (Chance(1) || IsCut(from.name, id)) {
        return;
      }
      AtHost(from, back, [settle, answer] { settle(answer); });
    });
  }

  void Observe(host& at, const std::string& id, const reply& answer,
               time_point asked_at) {
    at.answered_at[id] = now_;
    sassafraswick::instance_health& health = at.health[id];
    health.id = id;
    health.silent_since.reset();
    if (answer.position.term > at.view.term) {
      RecordFollower(at.view, id, answer.position.term);
    }
    RecordPosition(at.view, id, answer.position, asked_at);
  }

  void AskStatus(
      host& at, const std::string& id,
      std::function<void(std::optional<reply>)> done = nullptr,
      std::function<void(instance&)> effect = [](instance&) {}) {
    const time_point asked_at = now_;
    Ask(at, id, std::move(effect),
        [this, &at, id, asked_at,
         done = std::move(done)](std::optional<reply> answer) {
          sassafraswick::instance_health& health = at.health[id];
          health.id = id;
          if (answer.has_value()) {
            Observe(at, id, *answer, asked_at);
            if (!health.status.has_value() || asked_at >= health.asked_at) {
              health.status = answer->status;
              health.asked_at = asked_at;
            }
            if (answer->status.leads) {
              RecordPrimary(at.view, id, answer->status.term);
            } else {
              RecordFollower(at.view, id, answer->status.term);
            }
          } else if (at.answered_at[id] <= asked_at &&
                     !health.silent_since.has_value()) {
            health.silent_since = asked_at;
          }
          if (done) {
            done(answer);
          }
        });
  }

  // What hosts do all the time.

  void Tick(host& at) {
    KeepLease(at);
    Watch(at);
    const bool unknown = at.view.primary.empty();
    for (const instance& each : instances_) {
      if (unknown && now_ - at.asked_at[each.id] > kAskInterval) {
        at.asked_at[each.id] = now_;
        AskStatus(at, each.id);
      }
    }
    AtHost(at, kTick, [this, &at] { Tick(at); });
  }

  [[nodiscard]] bool HoldsFailover(const host& at) const {
    const bool named = at.registry.failover.holder == at.name &&
                       at.registry.failover.lease == at.lease.id;
    const bool in_time = now_ < at.lease.ValidUntil() ||
                         options_.planted == planted_fault::kNoLease;
    return named && in_time;
  }

  void Watch(host& at) {
    if (!HoldsFailover(at)) {
      at.watches = false;
      return;
    }
    if (!at.watches) {
      at.watches = true;
      at.replacement = sassafraswick::replacement_state();
      at.health.clear();
      Trace(at.name + " watches");
    }
    for (const instance& each : instances_) {
      if (now_ - at.asked_at[each.id] > kAskInterval) {
        at.asked_at[each.id] = now_;
        AskStatus(at, each.id);
      }
    }
    const bool skips_wait = options_.planted == planted_fault::kNoWait &&
                            at.replacement.phase == replacement_phase::kWaiting;
    const time_point seen =
        skips_wait ? now_ + sassafraswick::kPermitWindow : now_;
    for (replacement_action& action :
         TickReplacement(at.replacement, Health(at), settings_, seen)) {
      Act(at, action);
    }
  }

  [[nodiscard]] static sassafraswick::group_health Health(const host& at) {
    sassafraswick::group_health health;
    for (std::size_t i = 0; i < kInstances; ++i) {
      const std::string id = "i" + std::to_string(i);
      const auto found = at.health.find(id);
      health.push_back(found == at.health.end()
                           ? sassafraswick::instance_health()
                           : found->second);
      health.back().id = id;
    }
    return health;
  }

  void Act(host& at, const replacement_action& action) {
    if (action.kind == replacement_action_kind::kPromote) {
      Promote(at, action);
      return;
    }
    AskStatus(
        at, action.instance,
        [this, &at, action](const std::optional<reply>& answer) {
          if (answer.has_value() && at.watches) {
            RecordFenced(at.replacement, Health(at), action, answer->status,
                         now_);
          }
        },
        [this, action](instance& to) {
          Trace("control " + std::to_string(static_cast<int>(action.kind)) +
                " of term " + std::to_string(action.term) + " at " + to.id);
          if (action.kind == replacement_action_kind::kStepDown) {
            const bool yields = to.leads && to.term < action.term;
            to.leads = to.leads && !yields;
          } else if (action.kind == replacement_action_kind::kHold) {
            to.held =
                action.term > to.term && !to.leads ? action.term : to.held;
          } else {
            to.held = 0;
            ReplicateAll();
          }
        });
  }

  /// A replica that receives again gets what it lacks, and hanging writes end.
  void ReplicateAll() {
    for (instance& each : instances_) {
      if (each.leads && each.running) {
        Replicate(each);
      }
    }
  }

  void Promote(host& at, replacement_action action) {
    if (!HoldsFailover(at)) {
      return;
    }
    if (options_.planted == planted_fault::kAnyInstance) {
      for (const instance& each : instances_) {
        const auto known = at.health.find(each.id);
        const bool answers =
            known != at.health.end() && !known->second.silent_since.has_value();
        if (answers && each.id != at.replacement.primary) {
          action.instance = each.id;
        }
      }
    }
    for (const host& other : hosts_) {
      const bool runs = now_ >= other.paused_until;
      if (&other != &at && runs && HoldsFailover(other)) {
        Break(at.name + " promotes while " + other.name +
              " holds the failover lease too");
      }
    }
    const std::int64_t token = at.registry.failover.fencing_token;
    Trace(at.name + " promotes " + action.instance + " token " +
          std::to_string(token));
    After(Delay(), [this, &at, action, token] {
      if (token < highest_token_) {
        Break("a promotion came with token " + std::to_string(token) +
              " after " + std::to_string(highest_token_));
      }
      highest_token_ = std::max(highest_token_, token);
      const bool runs = Find(action.instance).running;
      if (runs) {
        After(Spread(kPromotionTime),
              [this, action] { PromoteNow(action.instance); });
      }
      AtHost(at, Delay(), [this, &at, action, runs] {
        if (at.watches) {
          RecordPromoted(at.replacement, action, runs, now_);
        }
      });
    });
  }

  // Leases.

  /// A call to the store. Lost calls may still be carried out, seconds later.
  void CallStore(host& from, std::function<bool()> effect,
                 std::function<void(bool answered, bool applied)> done) {
    const std::shared_ptr<bool> settled = std::make_shared<bool>(false);
    const auto settle = [settled, done = std::move(done)](bool answered,
                                                          bool applied) {
      if (!std::exchange(*settled, true)) {
        done(answered, applied);
      }
    };
    AtHost(from, milliseconds(1000), [settle] { settle(false, false); });
    const bool lost = store_loses_ && Chance(40);
    const duration travel = lost
                                ? milliseconds(100) + Spread(milliseconds(3000))
                                : milliseconds(5) + Delay();
    After(travel, [this, &from, effect = std::move(effect), settle, lost] {
      if (store_.down || (!lost && IsCut(from.name, "store"))) {
        return;
      }
      const bool applied = effect();
      if (!lost) {
        AtHost(from, Delay(), [settle, applied] { settle(true, applied); });
      }
    });
  }

  void KeepLease(host& at) {
    const time_point sent_at = now_;
    if (at.lease.id == 0 && !at.registering) {
      at.registering = true;
      const std::shared_ptr<std::uint64_t> granted =
          std::make_shared<std::uint64_t>(0);
      CallStore(
          at,
          [this, granted] {
            *granted = store_.next_lease++;
            store_.leases[*granted] = now_ + kLeaseTime;
            return true;
          },
          [&at, granted, sent_at](bool answered, bool) {
            at.registering = false;
            if (answered) {
              at.lease = {*granted, kLeaseTime, sent_at};
            }
          });
    } else if (at.lease.id != 0 && !at.renewing &&
               now_ - at.lease.renewed_at > kLeaseTime / 3) {
      at.renewing = true;
      const std::uint64_t id = at.lease.id;
      CallStore(
          at,
          [this, id] {
            const auto found = store_.leases.find(id);
            if (found != store_.leases.end()) {
              found->second = now_ + kLeaseTime;
            }
            return found != store_.leases.end();
          },
          [&at, sent_at, id](bool answered, bool kept) {
            at.renewing = false;
            if (answered && at.lease.id == id) {
              at.lease =
                  kept ? sassafraswick::held_lease{id, kLeaseTime, sent_at}
                       : sassafraswick::held_lease();
            }
          });
    }
    if (at.lease.id != 0 && ShouldClaimFailover(at.registry, at.name, now_)) {
      Claim(at);
    }
  }

  void Claim(host& at) {
    const std::uint64_t lease = at.lease.id;
    // One try at a time: the vacancy is taken as just seen.
    at.registry.failover.vacant_since = now_ + milliseconds(1000);
    CallStore(
        at,
        [this, &at, lease] {
          const bool applies =
              store_.holder.empty() && store_.leases.contains(lease);
          if (applies) {
            store_.holder = at.name;
            store_.holder_lease = lease;
            store_.holder_revision = ++store_.revision;
            Publish();
          }
          return applies;
        },
        [](bool, bool) {});
  }

  /// Tells every host that reaches the store who holds the failover lease.
  void Publish() {
    for (host& each : hosts_) {
      sassafraswick::store_item item;
      item.key = std::string(sassafraswick::kFailoverKey);
      item.value = store_.holder;
      item.revision = store_.holder_revision;
      item.lease = store_.holder_lease;
      item.deleted = store_.holder.empty();
      Tell(each, item);
    }
  }

  void Tell(host& to, const sassafraswick::store_item& item) {
    AtHost(to, Delay(), [this, &to, item] {
      if (store_.down || IsCut(to.name, "store")) {
        After(milliseconds(300), [this, &to, item] { Tell(to, item); });
        return;
      }
      ApplyRegistryItem(to.registry, item, now_);
    });
  }

  void ExpireLeases() {
    const bool frozen = store_.down && store_.leases_pause;
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
      Trace("failover lease ended");
      Publish();
    }
    After(milliseconds(20), [this] { ExpireLeases(); });
  }

  // Callers.

  void Operate(host& at) {
    if (!at.view.primary.empty()) {
      const int kind = std::uniform_int_distribution<int>(0, 2)(random_);
      if (kind == 0) {
        WriteThrough(at);
      } else if (kind == 1) {
        ReadPrimary(at);
      } else {
        ReadBounded(at);
      }
    }
    AtHost(at, Spread(kOperationInterval * 2), [this, &at] { Operate(at); });
  }

  void WriteThrough(host& at) {
    const time_point asked_at = now_;
    const std::string id = at.view.primary;
    After(Delay(), [this, &at, id, asked_at] {
      instance& to = Find(id);
      if (!to.running || !to.leads || dark_.contains(id) ||
          IsCut(at.name, id)) {
        return;
      }
      const std::uint64_t number = last_number_ + 1;
      Write(to, [this, &at, id, number, asked_at](log_point end) {
        if (dark_.contains(id) || IsCut(at.name, id)) {
          return;
        }
        AtHost(at, Delay(), [this, &at, id, number, asked_at, end] {
          Acknowledge(at, id, number, end, asked_at);
        });
      });
    });
  }

  /// The answer to a write has arrived and goes on to the caller.
  void Acknowledge(host& at, const std::string& id, std::uint64_t number,
                   log_point end, time_point asked_at) {
    const reply answer{{}, end};
    Observe(at, id, answer, asked_at);
    RecordPrimary(at.view, id, end.term);
    if (id == at.view.primary) {
      RecordProof(at.view, end.term, asked_at);
    }
    if (replaced_commits_.contains(number)) {
      Break("write " + std::to_string(number) + " was committed at " + id +
            " after it was replaced, and acknowledged by " + at.name);
    }
    acknowledged_.insert(number);
    at.served_at = now_;
    acknowledged_at_[number] = now_;
    ++report_.writes_acknowledged;
  }

  /// Acknowledged writes that a read must show.
  [[nodiscard]] std::vector<std::uint64_t> Required(time_point moment) const {
    std::vector<std::uint64_t> required;
    // Newest first; older ones are covered by the checks at promotions.
    for (auto each = acknowledged_at_.rbegin();
         each != acknowledged_at_.rend() && required.size() < kWritesChecked;
         ++each) {
      if (each->second < moment) {
        required.push_back(each->first);
      }
    }
    return required;
  }

  /// A required write that an instance's readers do not see.
  [[nodiscard]] std::optional<std::uint64_t> Missing(
      const instance& at, const std::vector<std::uint64_t>& required) {
    ++stamp_;
    seen_.resize(last_number_ + 1);
    for (std::size_t i = at.applied - std::min(at.applied, kLogChecked);
         i < at.applied; ++i) {
      seen_[at.log[i].number] = stamp_;
    }
    for (const std::uint64_t number : required) {
      if (seen_[number] != stamp_) {
        return number;
      }
    }
    return std::nullopt;
  }

  void ReadPrimary(host& at) {
    const time_point asked_at = now_;
    const std::string id = at.view.primary;
    const std::vector<std::uint64_t> required = Required(now_);
    const std::shared_ptr<std::optional<std::uint64_t>> missing =
        std::make_shared<std::optional<std::uint64_t>>();
    Ask(
        at, id,
        [this, missing, required](instance& to) {
          *missing = Missing(to, required);
        },
        [this, &at, id, asked_at, missing](std::optional<reply> answer) {
          if (answer.has_value()) {
            Observe(at, id, *answer, asked_at);
            AnswerRead(at, id, answer->position.term, asked_at, *missing);
          }
        });
  }

  /// Waits for a permit as a host does, and then answers.
  void AnswerRead(host& at, const std::string& id, term_number term,
                  time_point asked_at,
                  const std::optional<std::uint64_t>& missing) {
    const bool led = at.view.term == term && at.view.primary == id;
    const bool permitted = IsPermitted(at.view, id, term, now_);
    if (options_.planted != planted_fault::kNoPermit && !permitted) {
      if (led && now_ - asked_at < milliseconds(2000)) {
        Prove(at);
        AtHost(at, milliseconds(5), [this, &at, id, term, asked_at, missing] {
          AnswerRead(at, id, term, asked_at, missing);
        });
      }
      return;
    }
    ++report_.reads_answered;
    if (missing.has_value()) {
      Break("read at " + id + " by " + at.name + " lacks write " +
            std::to_string(*missing));
    }
  }

  void Prove(host& at) {
    if (at.proving || at.view.primary.empty()) {
      return;
    }
    at.proving = true;
    const time_point asked_at = now_;
    const std::string id = at.view.primary;
    AskStatus(at, id, [this, &at, id, asked_at](std::optional<reply> first) {
      const bool leads = first.has_value() && first->status.leads;
      if (!leads) {
        at.proving = false;
        return;
      }
      std::string replica;
      for (const instance& each : instances_) {
        if (each.id != id && (replica.empty() || Chance(50))) {
          replica = each.id;
        }
      }
      const term_number term = first->status.term;
      AskStatus(at, replica, [&at, asked_at, term](std::optional<reply> other) {
        at.proving = false;
        if (other.has_value() && other->status.term == term &&
            other->status.held_term == 0) {
          RecordProof(at.view, term, asked_at);
        }
      });
    });
  }

  void ReadBounded(host& at) {
    const std::optional<log_point> after =
        RequiredPosition(at.view, now_ - kMaxStaleness, std::nullopt);
    if (!after.has_value()) {
      Prove(at);
      return;
    }
    const std::vector<std::uint64_t> required = Required(now_ - kMaxStaleness);
    const std::string id = "i" + std::to_string(random_() % kInstances);
    const time_point asked_at = now_;
    const std::shared_ptr<bool> lags = std::make_shared<bool>(false);
    const std::shared_ptr<std::optional<std::uint64_t>> missing =
        std::make_shared<std::optional<std::uint64_t>>();
    Ask(
        at, id,
        [this, after, lags, missing, required](instance& to) {
          const log_point end = Describe(to).position;
          // Numbers go on over terms, so a later term alone proves nothing.
          *lags = end.term < after->term || end.position < after->position;
          *missing = Missing(to, required);
        },
        [this, &at, id, asked_at, lags, missing](std::optional<reply> answer) {
          if (!answer.has_value()) {
            return;
          }
          Observe(at, id, *answer, asked_at);
          if (*lags) {
            return;
          }
          ++report_.reads_answered;
          if (missing->has_value()) {
            Break("bounded read at " + id + " by " + at.name + " lacks write " +
                  std::to_string(**missing));
          }
        });
  }

  // Faults.

  void Fault() {
    const duration length = milliseconds(300) + Spread(milliseconds(4500));
    const auto leader =
        std::find_if(instances_.begin(), instances_.end(),
                     [](const instance& each) { return each.leads; });
    instance& primary =
        leader == instances_.end() ? instances_.front() : *leader;
    instance& other = instances_[random_() % kInstances];
    host& victim = hosts_[random_() % hosts_.size()];
    host& holder = Holder();
    switch (std::uniform_int_distribution<int>(0, 11)(random_)) {
      case 0:
        return Crash(primary, length);
      case 11:
        return Crash(other, length);
      case 1:
        return Mark(dark_, primary.id, length, "dark");
      case 2:
        return Mark(deaf_, other.id, length, "deaf");
      case 3:
        for (const instance& each : instances_) {
          Cut(primary.id, each.id, length);
        }
        return;
      case 4:
        return Cut(victim.name, primary.id, length);
      case 5:
        Cut(holder.name, primary.id, length);
        return Cut(holder.name, "store", length);
      case 6:
        return Cut(victim.name, "store", length);
      case 7:
        Trace(holder.name + " paused " + std::to_string(length.count()));
        holder.paused_until = now_ + length;
        return;
      case 8:
        Trace(victim.name + " paused " + std::to_string(length.count()));
        victim.paused_until = now_ + length;
        return;
      case 9:
        Trace("store down");
        store_.down = true;
        store_.leases_pause = Chance(50);
        After(length, [this] { store_.down = false; });
        return;
      default:
        Trace("store loses");
        store_loses_ = true;
        After(length, [this] { store_loses_ = false; });
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
      each.held = 0;
      ++each.life;
      Trace("back " + each.id);
      const bool replaced = each.term < newest_term_;
      if (replaced) {
        each.leads = false;
      }
      for (instance& other : instances_) {
        if (other.leads && &other != &each && other.term > each.term) {
          FollowNewPrimary(each, other);
        }
      }
    });
  }

  void Mark(std::set<std::string>& marked, const std::string& id,
            duration length, const std::string& what) {
    Trace(what + " " + id);
    marked.insert(id);
    After(length, [this, &marked, id] {
      marked.erase(id);
      ReplicateAll();
    });
  }

  void Cut(const std::string& one, const std::string& other, duration length) {
    if (one == other) {
      return;
    }
    Trace("cut " + one + " " + other);
    cuts_.insert({one, other});
    After(length, [this, one, other] {
      const auto found = cuts_.find({one, other});
      if (found != cuts_.end()) {
        cuts_.erase(found);
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
  std::vector<pending_write> pending_;
  std::set<std::uint64_t> replaced_commits_;
  std::set<std::uint64_t> acknowledged_;
  std::map<std::uint64_t, time_point> acknowledged_at_;
  /// Stamp of the last check that saw each entry.
  std::vector<std::uint64_t> seen_;
  std::uint64_t stamp_ = 0;
  std::uint64_t last_number_ = 0;
  term_number newest_term_ = 1;
  std::int64_t highest_token_ = 0;
  store_state store_;
  bool store_loses_ = false;
  std::multiset<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> dark_;
  std::set<std::string> deaf_;
  duration apply_lag_ = milliseconds(40);
  sassafraswick::replacement_settings settings_;
  model_report report_;
};

}  // namespace

model_report Play(const model_options& options) { return model(options).Run(); }

}  // namespace promotion_model
