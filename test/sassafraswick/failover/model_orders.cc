#include <memory>
#include <optional>
#include <utility>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {
namespace {

/// As in the product.
constexpr duration kRecordRetryInterval = milliseconds(250);
constexpr duration kRecordTimeout = milliseconds(2000);
constexpr duration kRecordTtl = milliseconds(12'000);
constexpr duration kReadRetryDelay = milliseconds(250);
constexpr duration kDiscardInterval = milliseconds(1000);
constexpr duration kLostOrderLifetime =
    kLeaseTtl + sassafraswick::replacement_settings().order_lifetime;

}  // namespace

void model::EndClaim(host& self) {
  if (self.is_watching && self.replacement.order.has_value()) {
    self.orders.Remember(kPool, *self.replacement.order, {});
  } else if (self.is_watching && !self.replacement.awaits_earlier_orders) {
    self.orders.Forget(kPool);
  }
  self.orders.EndClaim(self.eras.Current(), self.earlier_order.has_value(),
                       now_);
  self.is_watching = false;
}

void model::BeginClaim(host& self) {
  const sassafraswick::store_revision claim =
      self.registry.failover.fencing_token;
  if (!self.is_watching || self.orders.Claim() != claim) {
    EndClaim(self);
    self.is_watching = true;
    self.orders.BeginClaim(claim);
    self.replacement = sassafraswick::replacement_state();
    self.replacement.awaits_earlier_orders = true;
    self.earlier_order.reset();
    Trace(self.name + " observes the group");
    ReadEarlierOrder(self, claim);
  }
  self.orders.Hold(self.eras.MayHaveLostChanges(kLostOrderLifetime, now_),
                   self.lease.ValidUntil());
  if (!self.replacement.awaits_earlier_orders ||
      !self.earlier_order.has_value() || !self.orders.IsComplete()) {
    return;
  }
  self.replacement.awaits_earlier_orders = false;
  const std::optional<sassafraswick::remembered_order> own =
      self.orders.FindAdopted(kPool, now_);
  if (own.has_value()) {
    Trace(self.name + " remembers the order of " + own->order.instance);
    self.replacement.order = own->order;
  } else if (self.earlier_order->has_value()) {
    const sassafraswick::order_record& record = **self.earlier_order;
    Trace(self.name + " inherits the order of " + record.instance);
    InheritOrder(self.replacement, record.instance, record.requests, now_);
  }
}

std::int64_t model::OrderRevision() const {
  return store_.order.has_value() && now_ < store_.order_expires_at
             ? store_.order_revision
             : 0;
}

void model::ReadEarlierOrder(host& self, sassafraswick::store_revision claim) {
  using optional_record = std::optional<sassafraswick::order_record>;
  const std::shared_ptr<optional_record> record =
      std::make_shared<optional_record>();
  const std::shared_ptr<std::int64_t> revision =
      std::make_shared<std::int64_t>(0);
  CallStore(
      self,
      [this, record, revision] {
        *revision = OrderRevision();
        if (*revision != 0) {
          *record = store_.order;
        }
        return true;
      },
      [this, &self, claim, record, revision](bool answered, bool) {
        if (claim != self.orders.Claim()) {
          return;
        }
        if (answered) {
          self.earlier_order = *record;
          self.known_order_revision = *revision;
        } else {
          AtHost(self, kReadRetryDelay,
                 [this, &self, claim] { ReadEarlierOrder(self, claim); });
        }
      });
}

bool model::MaySendRecorded(const host& self, const order_write& write) const {
  return HoldsFailover(self) &&
         self.registry.failover.fencing_token == write.claim &&
         self.replacement.order.has_value() &&
         self.replacement.order->sent_at == write.order_sent_at &&
         MayPromote(self.replacement, GroupHealth(self)) &&
         MaySendOrder(self.replacement, GroupHealth(self), settings_, now_);
}

void model::WriteOrder(host& self, std::function<void(bool)> on_done) {
  if (!self.replacement.order.has_value()) {
    on_done(false);
    return;
  }
  const sassafraswick::promotion_order& order = *self.replacement.order;
  const std::shared_ptr<order_write> write = std::make_shared<order_write>();
  write->id = ++last_order_write_;
  write->record = {order.instance, order.requests};
  write->claim = self.registry.failover.fencing_token;
  write->order_sent_at = order.sent_at;
  write->until = now_ + kRecordTimeout;
  write->on_done = std::move(on_done);
  self.last_order_write = write->id;
  TryWriteOrder(self, write);
}

void model::TryWriteOrder(host& self,
                          const std::shared_ptr<order_write>& write) {
  if (write->has_ended) {
    return;
  }
  if (now_ >= write->until || !MaySendRecorded(self, *write)) {
    Trace(self.name + " gives an order up for want of a record");
    write->has_ended = true;
    if (write->record.requests == 1) {
      DiscardOrder(self, *write, now_ + kRecordTtl);
    }
    write->on_done(false);
    return;
  }
  AttemptOrderWrite(self, write);
  AtHost(self, kRecordRetryInterval,
         [this, &self, write] { TryWriteOrder(self, write); });
}

void model::AttemptOrderWrite(host& self,
                              const std::shared_ptr<order_write>& write) {
  const std::int64_t expected = self.known_order_revision;
  const std::shared_ptr<std::int64_t> revision =
      std::make_shared<std::int64_t>(0);
  CallStore(
      self,
      [this, write, expected, revision] {
        const bool is_claimed = StoreEra() == write->claim.era &&
                                store_.holder_revision == write->claim.number;
        const bool applies = is_claimed && OrderRevision() == expected;
        if (applies) {
          store_.order = write->record;
          store_.order_revision = ++store_.revision;
          store_.order_writer = write->id;
          store_.order_expires_at = now_ + kRecordTtl;
        }
        *revision = OrderRevision();
        return *revision != 0 && store_.order_writer == write->id;
      },
      [this, &self, write, expected, revision](bool answered, bool written) {
        if (!answered || write->has_ended) {
          return;
        }
        self.known_order_revision = *revision;
        if (written) {
          write->has_ended = true;
          self.order_revision = *revision;
          write->on_done(true);
        } else if (*revision != expected) {
          AttemptOrderWrite(self, write);
        }
      });
}

void model::DiscardOrder(host& self, const order_write& write,
                         time_point until) {
  AtHost(self, kDiscardInterval, [this, &self, write, until] {
    if (now_ >= until || self.last_order_write != write.id) {
      return;
    }
    CallStore(
        self,
        [this, write] {
          const bool applies =
              StoreEra() == write.claim.era && store_.order_writer == write.id;
          if (applies) {
            store_.order.reset();
          }
          return applies;
        },
        [](bool, bool) {});
    DiscardOrder(self, write, until);
  });
}

void model::EraseOrder(host& self) {
  const std::int64_t revision = std::exchange(self.order_revision, 0);
  if (revision == 0) {
    return;
  }
  CallStore(
      self,
      [this, revision] {
        const bool applies = store_.order_revision == revision;
        if (applies) {
          store_.order.reset();
        }
        return applies;
      },
      [&self, revision](bool answered, bool applied) {
        const bool is_erased = answered && applied;
        if (is_erased && self.known_order_revision == revision) {
          self.known_order_revision = 0;
        }
      });
}

}  // namespace promotion_model
