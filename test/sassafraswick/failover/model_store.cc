#include <algorithm>
#include <memory>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

void model::CallStore(
    host& from, std::function<bool()> effect,
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
    if (store_.down || (!response_lost && IsPartitioned(from.name, "store"))) {
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

sassafraswick::store_era model::StoreEra() const {
  return options_.bug == injected_bug::kIgnoreStoreEra ? 1 : store_.era;
}

void model::ObserveEra(host& self, sassafraswick::store_era era) {
  const bool is_new = self.eras.Observe(era, now_);
  if (is_new && self.lease.id != 0) {
    Trace(self.name + " drops its lease in era " + std::to_string(era));
    self.lease = sassafraswick::held_lease();
  }
  if (self.registry.era < self.eras.Current()) {
    ReadRegistry(self);
  }
}

void model::ReadRegistry(host& self) {
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

void model::CopyStore() {
  constexpr std::size_t kMaxCopies = 10;
  copies_.push_back({now_, store_});
  if (copies_.size() > kMaxCopies) {
    copies_.erase(copies_.begin());
  }
  After(milliseconds(500), [this] { CopyStore(); });
}

void model::RestoreStore(duration unavailable) {
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

sassafraswick::store_item model::HolderItem() const {
  sassafraswick::store_item item;
  item.key = std::string(sassafraswick::kFailoverKey);
  item.value = store_.holder;
  item.revision = {StoreEra(), store_.holder_revision};
  item.lease = store_.holder_lease;
  item.deleted = store_.holder.empty();
  return item;
}

void model::MaintainLease(host& self) {
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

void model::ReleaseStrayRecord(host& self) {
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

void model::ClaimFailover(host& self) {
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

void model::PublishHolder() {
  for (host& each : hosts_) {
    Notify(each, HolderItem());
  }
}

void model::Notify(host& to, const sassafraswick::store_item& item) {
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

void model::ExpireLeases() {
  const bool frozen = store_.down && store_.leases_frozen;
  if (frozen) {
    for (std::pair<const std::uint64_t, time_point>& each : store_.leases) {
      each.second += milliseconds(20);
    }
  }
  std::erase_if(store_.leases,
                [this](const std::pair<const std::uint64_t, time_point>& each) {
                  return each.second <= now_;
                });
  if (!store_.holder.empty() && !store_.leases.contains(store_.holder_lease)) {
    store_.holder.clear();
    store_.holder_lease = 0;
    store_.holder_revision = ++store_.revision;
    Trace("failover lease expired");
    PublishHolder();
  }
  After(milliseconds(20), [this] { ExpireLeases(); });
}

}  // namespace promotion_model
