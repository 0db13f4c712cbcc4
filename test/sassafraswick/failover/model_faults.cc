#include <algorithm>
#include <memory>
#include <vector>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {
namespace {

/// Kinds of faults in which a process ends, and the last of all kinds.
constexpr int kFirstProcessFault = 13;
constexpr int kLastProcessFault = 18;
constexpr int kLostOrder = 19;
constexpr int kCutOffBesideStart = 20;
constexpr int kRestoredStore = 12;

}  // namespace

int model::PickFault() {
  const bool are_orders_drawn = options_.focus == fault_focus::kOrders ||
                                options_.focus == fault_focus::kLateOrders;
  if (are_orders_drawn && Chance(60)) {
    return kLostOrder;
  }
  if (options_.focus == fault_focus::kLateEntries && Chance(60)) {
    return kCutOffBesideStart;
  }
  if (options_.focus == fault_focus::kStore && Chance(60)) {
    return kRestoredStore;
  }
  const bool ends_process =
      options_.focus == fault_focus::kProcesses && Chance(60);
  return std::uniform_int_distribution<int>(
      ends_process ? kFirstProcessFault : 0,
      ends_process ? kLastProcessFault : kLostOrder)(random_);
}

void model::InjectFault() {
  const duration length =
      milliseconds(300) + RandomDuration(milliseconds(4500));
  instance& primary = PickInstance(true);
  instance& other = PickInstance(false);
  host& victim = hosts_[random_() % hosts_.size()];
  host& holder = Holder();
  switch (PickFault()) {
    case 0:
      return Crash(primary, length);
    case 11:
      return Crash(other, length);
    case kRestoredStore:
      // A primary that crashes before or after the return makes the holders
      // of both eras act.
      After(RandomDuration(milliseconds(3000)),
            [this, &primary, length] { Crash(primary, length); });
      return RestoreStore(RandomDuration(milliseconds(800)));
    case 13:
      return CrashAnyhow(primary, length);
    case 14:
      return CrashAnyhow(other, length);
    case 15:
      return Release(Chance(50) ? primary : other, length);
    case 16:
      // A replica, and 0.3 s later the primary.
      return CrashBoth(primary, other, milliseconds(300), length);
    case 17:
      // A failure domain.
      CrashBoth(primary, other, RandomDuration(milliseconds(50)), length);
      if (Chance(30)) {
        holder.paused_until = now_ + RandomDuration(length);
      }
      return;
    case 18:
      // An instance joins while an order may be under way.
      Release(other, length);
      After(RandomDuration(milliseconds(3000)),
            [this, &primary, length] { CrashAnyhow(primary, length); });
      return;
    case kLostOrder:
      LoseOrders(holder, other, length);
      return CrashAnyhow(primary, length);
    case kCutOffBesideStart:
      return JoinCutOff(primary, other, length);
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

void model::JoinCutOff(const instance& primary, instance& other,
                       duration length) {
  for (const instance& each : instances_) {
    Partition(primary.id, each.id, length);
  }
  After(RandomDuration(milliseconds(1500)),
        [this, &other, length] { Release(other, length); });
}

duration model::EntryDelay() {
  constexpr int kLatePercent = 50;
  const duration delay = RandomDuration(kFirstEntryDelay);
  const bool is_late =
      options_.focus == fault_focus::kLateEntries && Chance(kLatePercent);
  return is_late ? kMinEntryLateness +
                       RandomDuration(kMaxEntryLateness - kMinEntryLateness)
                 : delay;
}

host& model::Holder() {
  for (host& each : hosts_) {
    if (each.name == store_.holder) {
      return each;
    }
  }
  return hosts_.front();
}

void model::LoseOrders(host& holder, instance& replica, duration length) {
  Trace("orders lose responses");
  orders_lost_ = true;
  After(length, [this] { orders_lost_ = false; });
  // The instance that is ordered may no longer respond to the holder.
  After(milliseconds(400) + RandomDuration(milliseconds(1200)),
        [this, &holder, &replica, length] {
          Partition(holder.name, replica.id, length);
          if (Chance(50)) {
            Partition(replica.id, PickInstance(false).id, length);
          }
        });
}

instance& model::PickInstance(bool wants_primary) {
  std::vector<instance*> usable;
  instance* primary = nullptr;
  for (instance& each : instances_) {
    if (each.is_gone) {
      continue;
    }
    usable.push_back(&each);
    const bool leads = each.running && each.is_primary;
    if (leads && (primary == nullptr || each.term > primary->term)) {
      primary = &each;
    }
  }
  if (wants_primary && primary != nullptr) {
    return *primary;
  }
  // A process may have ended while the next one hasn't started.
  return usable.empty() ? instances_.back()
                        : *usable[random_() % usable.size()];
}

void model::CrashBoth(instance& primary, instance& replica, duration between,
                      duration length) {
  const duration replica_length =
      milliseconds(300) + RandomDuration(milliseconds(4500));
  if (&replica != &primary) {
    CrashAnyhow(replica, replica_length);
  }
  After(between, [this, &primary, length] { CrashAnyhow(primary, length); });
}

void model::Crash(instance& each, duration length) {
  if (!each.running) {
    return;
  }
  Trace("crash " + each.id);
  End(each);
  After(length, [this, &each] {
    each.running = true;
    each.draining = false;
    After(EntryDelay(), [this, &each] { Register(each); });
    each.paused_term = 0;
    each.start_id = ++last_start_;
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
      // Those that had not joined its term follow a primary that is back.
      if (each.is_primary && other.running && other.term < each.term) {
        JoinAnyPrimary(other);
      }
    }
  });
}

void model::InjectInstanceFault(std::set<std::string>& affected,
                                const std::string& id, duration length,
                                const std::string& what) {
  Trace(what + " " + id);
  affected.insert(id);
  After(length, [this, &affected, id] {
    affected.erase(id);
    ReplicateAll();
  });
}

void model::Partition(const std::string& one, const std::string& other,
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

}  // namespace promotion_model
