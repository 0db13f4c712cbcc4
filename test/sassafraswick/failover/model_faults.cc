#include <algorithm>
#include <memory>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

void model::InjectFault() {
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

host& model::Holder() {
  for (host& each : hosts_) {
    if (each.name == store_.holder) {
      return each;
    }
  }
  return hosts_.front();
}

void model::Crash(instance& each, duration length) {
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
