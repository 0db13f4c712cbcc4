#include "test/sassafraswick/failover/promotion_model.h"

#include <algorithm>
#include <memory>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

model_report model::Run() {
  const std::size_t instances = kInstanceCount + (Chance(30) ? 1 : 0);
  for (std::size_t i = 0; i < instances; ++i) {
    instance& each = AddInstance(NextId(), NextAddress());
    each.is_primary = i == 0;
    each.term = 1;
    each.was_listed = true;
    entries_[each.id] = {MakeRecord(each), now_};
  }
  for (std::size_t i = 0; i < options_.hosts; ++i) {
    hosts_.push_back(host());
    hosts_.back().name = "h" + std::to_string(i);
    hosts_.back().closes_idle = i == 1;
  }
  for (host& each : hosts_) {
    each.registry.loaded = true;
    each.registry.failover.vacant_since = now_;
    each.registry.era = store_.era;
    ApplyList(each, {list_version_, entries_});
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
    After(RandomDuration(kHeartbeatInterval), [this, &each] { Beat(each); });
  }
  After(milliseconds(50), [this] { RemoveLapsedEntries(); });
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
    ReportViolation("no host holds the failover lease though all faults ended");
  }
  return std::move(report_);
}

void model::After(duration span, std::function<void()> work) {
  events_.push({now_ + span, ++order_, std::move(work)});
}

void model::AtHost(host& self, duration span, std::function<void()> work) {
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

duration model::RandomDuration(duration max_duration) {
  return duration(std::uniform_int_distribution<std::int64_t>(
      0, std::max<std::int64_t>(max_duration.count(), 1))(random_));
}

bool model::Chance(int percent) {
  return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

duration model::MessageDelay() {
  return Chance(2) ? milliseconds(20) + RandomDuration(milliseconds(250))
                   : milliseconds(1) + RandomDuration(milliseconds(3));
}

bool model::IsPartitioned(const std::string& one,
                          const std::string& other) const {
  return partitions_.contains({one, other}) ||
         partitions_.contains({other, one});
}

void model::Trace(const std::string& text) {
  report_.trace.push_back(std::to_string(Milliseconds()) + " " + text);
}

void model::ReportViolation(const std::string& text) {
  report_.violations.push_back(std::to_string(Milliseconds()) + " " + text);
  Trace("VIOLATION " + text);
}

std::int64_t model::Milliseconds() const {
  return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
      .count();
}

instance& model::Find(const std::string& id) {
  // The newest process that runs under the identifier.
  return *std::find_if(instances_.rbegin(), instances_.rend(),
                       [&id](const instance& each) { return each.id == id; });
}

model_report RunSimulation(const model_options& options) {
  return model(options).Run();
}

}  // namespace promotion_model
