#include <memory>
#include <utility>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

using sassafraswick::target_record;

target_record model::MakeRecord(const instance& each) {
  target_record record;
  record.id = each.id;
  record.address = {"10.0.0.1", each.address};
  record.leaving = each.draining;
  record.claims_primary = each.is_primary;
  record.start_id = each.start_id;
  return record;
}

void model::Beat(instance& each) {
  if (each.is_gone) {
    return;
  }
  const bool done = !each.running || Register(each);
  After(done ? kHeartbeatInterval : duration(milliseconds(200)),
        [this, &each] { Beat(each); });
}

bool model::Register(instance& each) {
  if (store_.down || !each.running) {
    return false;
  }
  each.was_listed = true;
  list_entry& entry = entries_[each.id];
  const target_record record = MakeRecord(each);
  const bool changed = entry.record.start_id != record.start_id ||
                       entry.record.claims_primary != record.claims_primary ||
                       entry.record.leaving != record.leaving;
  entry = {record, now_};
  if (changed) {
    PublishList();
  }
  return true;
}

void model::RemoveLapsedEntries() {
  constexpr duration kStep = milliseconds(50);
  std::size_t removed = 0;
  for (std::pair<const std::string, list_entry>& each : entries_) {
    if (store_.down && store_.leases_frozen) {
      each.second.written_at += kStep;
    }
  }
  removed = std::erase_if(
      entries_, [this](const std::pair<const std::string, list_entry>& each) {
        return now_ - each.second.written_at >= kEntryLapse;
      });
  if (removed > 0) {
    PublishList();
  }
  After(kStep, [this] { RemoveLapsedEntries(); });
}

void model::PublishList() {
  ++list_version_;
  for (host& each : hosts_) {
    if (!std::exchange(each.list_notified, true)) {
      NotifyOfList(each);
    }
  }
}

void model::NotifyOfList(host& to) {
  After(MessageDelay() + RandomDuration(milliseconds(30)), [this, &to] {
    if (store_.down || IsPartitioned(to.name, "store")) {
      After(milliseconds(300), [this, &to] { NotifyOfList(to); });
      return;
    }
    to.list_notified = false;
    const list_copy list = {list_version_, entries_};
    AtHost(to, MessageDelay(), [this, &to, list] { ApplyList(to, list); });
  });
}

void model::ReadList(host& self) {
  if (std::exchange(self.list_read_pending, true)) {
    return;
  }
  const time_point sent_at = now_;
  const std::shared_ptr<list_copy> list = std::make_shared<list_copy>();
  CallStore(
      self,
      [this, list] {
        *list = {list_version_, entries_};
        return true;
      },
      [this, &self, list, sent_at](bool answered, bool) {
        self.list_read_pending = false;
        if (answered) {
          ApplyList(self, *list);
          self.list_read_at = std::max(self.list_read_at, sent_at);
        }
      });
}

void model::ApplyList(host& self, const list_copy& list) {
  if (list.version < self.list_version) {
    return;
  }
  self.list_version = list.version;
  for (const std::pair<const std::string, list_entry>& each : list.entries) {
    ApplyEntry(self, each.second.record);
  }
  for (std::pair<const std::string, known_target>& each : self.targets) {
    known_target& target = each.second;
    const bool is_missing =
        target.health.listed && !list.entries.contains(each.first);
    if (is_missing && !target.missing_since.has_value()) {
      target.missing_since = now_;
    }
  }
}

void model::ApplyEntry(host& self, const target_record& record) {
  const bool ignores_change =
      options_.bug == injected_bug::kIgnoreProcessChange;
  const auto found = self.targets.find(record.id);
  const bool is_new = found == self.targets.end();
  known_target& target = self.targets[record.id];
  const bool is_other =
      !is_new && target.record.start_id != record.start_id && !ignores_change;
  if (is_new) {
    BeginProcess(target, record.id);
  } else if (is_other) {
    HandleProcessChange(self, target);
  }
  target.record = record;
  target.missing_since.reset();
  target.health.claims_primary = record.claims_primary;
  target.health.listed = true;
  target.health.leaving = record.leaving;
  const std::optional<std::string> ended = self.owners.Record(record);
  const auto replaced =
      ended.has_value() ? self.targets.find(*ended) : self.targets.end();
  if (replaced != self.targets.end() && !ignores_change) {
    replaced->second.health.successor = record.id;
  }
}

void model::RemoveMissing(host& self) {
  for (auto each = self.targets.begin(); each != self.targets.end();) {
    known_target& target = each->second;
    const bool is_due = target.missing_since.has_value() &&
                        now_ - *target.missing_since >= kMissingRetention;
    if (is_due) {
      target.missing_since.reset();
      target.unlisted_at = now_;
      target.health.listed = false;
      target.health.leaving = true;
      self.owners.Remove(each->first);
    }
    const bool is_forgotten =
        !target.health.listed && now_ - target.unlisted_at > kUnlistedRetention;
    each = is_forgotten ? self.targets.erase(each) : std::next(each);
  }
}

void model::ConfirmList(host& self) const {
  const bool is_current = self.list_version == list_version_ && !store_.down &&
                          !IsPartitioned(self.name, "store");
  if (is_current) {
    self.list_current_at = now_ - kWatchDelay;
  }
}

void model::CheckClaims(host& self) {
  for (std::pair<const std::string, known_target>& each : self.targets) {
    known_target& target = each.second;
    const bool is_open = target.health.claims_primary && target.health.listed &&
                         self.view.primary != each.first;
    if (is_open && now_ - target.requested_at > kStatusInterval) {
      target.requested_at = now_;
      RequestStatus(self, each.first);
    }
  }
}

}  // namespace promotion_model
