#include <algorithm>
#include <utility>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

std::string model::NextId() { return "i" + std::to_string(last_id_++); }

std::uint16_t model::NextAddress() { return ++last_address_; }

instance& model::AddInstance(const std::string& id, std::uint16_t address) {
  instance& added = instances_.emplace_back();
  added.id = id;
  added.address = address;
  added.start_id = ++last_start_;
  added.term = 0;
  return added;
}

instance& model::StartInstance(const std::string& id, std::uint16_t address) {
  instance& started = AddInstance(id, address);
  ++report_.processes;
  Trace("start " + id + " at " + std::to_string(address));
  After(milliseconds(20), [this, &started] { ApplyLog(started); });
  After(EntryDelay(), [this, &started] { Beat(started); });
  After(MessageDelay(), [this, &started] { JoinAnyPrimary(started); });
  return started;
}

void model::StartSuccessor(instance& ended) {
  instance& started = StartInstance(NextId(), ended.address);
  started.log = ended.log;
  started.term = ended.term;
  // A primary that crashed leads again unless another was promoted.
  started.is_primary = ended.is_primary && ended.term == newest_term_;
  ended.is_gone = true;
  Trace(started.id + " has the log of " + ended.id + ", " +
        std::to_string(started.term) + "." +
        std::to_string(started.log.size()) +
        (started.is_primary ? ", and leads" : ""));
  if (started.is_primary) {
    // Those that had not joined the term follow its primary's next process.
    for (instance& each : instances_) {
      if (each.running && each.term < started.term) {
        JoinAnyPrimary(each);
      }
    }
  }
  ReplicateAll();
}

void model::JoinAnyPrimary(instance& each) {
  if (!each.running) {
    return;
  }
  instance* newest = nullptr;
  for (instance& other : instances_) {
    const bool leads =
        other.running && other.is_primary && other.term > each.term &&
        each.paused_term <= other.term && !IsPartitioned(each.id, other.id);
    if (leads && (newest == nullptr || other.term > newest->term)) {
      newest = &other;
    }
  }
  if (newest != nullptr) {
    JoinNewPrimary(each, *newest);
  }
  if (each.term < newest_term_) {
    After(milliseconds(20) + MessageDelay(),
          [this, &each] { JoinAnyPrimary(each); });
  }
}

void model::End(instance& each) {
  each.running = false;
  each.refuses = Chance(70);
}

void model::CrashAndReturn(instance& each, duration length) {
  Trace("crash " + each.id + ", returns under another id");
  End(each);
  After(length, [this, &each] { StartSuccessor(each); });
}

void model::CrashAndForget(instance& each, duration length) {
  Trace("crash " + each.id + ", returns without its log");
  End(each);
  each.is_gone = true;
  After(length, [this, &each] { (void)StartInstance(each.id, each.address); });
}

void model::CrashAnyhow(instance& each, duration length) {
  if (!each.running) {
    return;
  }
  const int kind = std::uniform_int_distribution<int>(0, 3)(random_);
  if (kind == 0) {
    CrashAndForget(each, length);
  } else if (kind == 1) {
    Crash(each, length);
  } else {
    CrashAndReturn(each, length);
  }
}

void model::Release(instance& each, duration length) {
  if (!each.running || each.draining) {
    return;
  }
  // The new instance joins before the old one leaves, or gets its log after.
  const bool joins_first = Chance(60);
  Trace("release " + each.id + (joins_first ? ", joins first" : ""));
  duration drains_after = milliseconds(0);
  if (joins_first) {
    (void)StartInstance(NextId(), NextAddress());
    drains_after = RandomDuration(milliseconds(1500));
  }
  After(drains_after, [this, &each, length, joins_first] {
    each.draining = true;
    Trace(each.id + " drains");
    Register(each);
    After(milliseconds(2000) + length, [this, &each, joins_first] {
      // One that crashed meanwhile returns in its own way.
      if (!each.running) {
        return;
      }
      Trace(each.id + " leaves");
      End(each);
      if (entries_.erase(each.id) > 0) {
        PublishList();
      }
      if (joins_first) {
        // "A replica that is leaving counts toward sync_replicas until it is
        // gone, and its log is gone with it."
        each.is_gone = true;
      } else {
        After(RandomDuration(milliseconds(1000)),
              [this, &each] { StartSuccessor(each); });
      }
    });
  });
}

}  // namespace promotion_model
