#include <memory>
#include <optional>
#include <utility>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {
namespace {

/// As in the product.
constexpr duration kRecordTimeout = milliseconds(250);
constexpr duration kRecordTtl = milliseconds(11'000);
constexpr duration kReadRetryDelay = milliseconds(250);

}  // namespace

void model::BeginClaim(host& self) {
  const sassafraswick::store_revision claim =
      self.registry.failover.fencing_token;
  if (!self.is_watching || self.orders_claim != claim) {
    EndClaim(self);
    self.is_watching = true;
    self.orders_claim = claim;
    self.replacement = sassafraswick::replacement_state();
    self.replacement.awaits_earlier_orders = true;
    self.earlier_order.reset();
    Trace(self.name + " observes the group");
    ReadEarlierOrder(self, claim);
  }
  if (!self.replacement.awaits_earlier_orders ||
      !self.earlier_order.has_value()) {
    return;
  }
  self.replacement.awaits_earlier_orders = false;
  const bool adopts =
      self.remembered.has_value() &&
      MayAdopt(*self.remembered, claim, self.earlier_order->has_value(), now_);
  if (adopts) {
    self.replacement.order = self.remembered->order;
    Trace(self.name + " remembers the order of " +
          self.replacement.order->instance);
  } else if (self.earlier_order->has_value()) {
    const sassafraswick::order_record& record = **self.earlier_order;
    Trace(self.name + " inherits the order of " + record.instance);
    InheritOrder(self.replacement, record.instance, record.requests, now_);
  }
}

void model::EndClaim(host& self) {
  if (!std::exchange(self.is_watching, false)) {
    return;
  }
  self.remembered.reset();
  if (self.replacement.order.has_value()) {
    self.remembered = {*self.replacement.order,
                       {self.orders_claim.era, self.order_revision},
                       self.orders_claim};
  }
  self.orders_claim = sassafraswick::store_revision();
}

void model::ReadEarlierOrder(host& self, sassafraswick::store_revision claim) {
  using optional_record = std::optional<sassafraswick::order_record>;
  const std::shared_ptr<optional_record> record =
      std::make_shared<optional_record>();
  CallStore(
      self,
      [this, record] {
        if (store_.order.has_value() && now_ < store_.order_expires_at) {
          *record = store_.order;
        }
        return true;
      },
      [this, &self, claim, record](bool answered, bool) {
        if (claim != self.orders_claim) {
          return;
        }
        if (answered) {
          self.earlier_order = *record;
        } else {
          AtHost(self, kReadRetryDelay,
                 [this, &self, claim] { ReadEarlierOrder(self, claim); });
        }
      });
}

void model::WriteOrder(host& self, std::function<void(bool)> on_done) {
  const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
  const auto complete = [is_done, on_done = std::move(on_done)](bool may_send) {
    if (!std::exchange(*is_done, true)) {
      on_done(may_send);
    }
  };
  if (!self.replacement.order.has_value()) {
    complete(false);
    return;
  }
  AtHost(self, kRecordTimeout, [complete] { complete(true); });
  const sassafraswick::order_record record{self.replacement.order->instance,
                                           self.replacement.order->requests};
  const sassafraswick::store_revision claim =
      self.registry.failover.fencing_token;
  const std::shared_ptr<std::int64_t> revision =
      std::make_shared<std::int64_t>(0);
  CallStore(
      self,
      [this, record, claim, revision] {
        const bool applies =
            StoreEra() == claim.era && store_.holder_revision == claim.number;
        if (applies) {
          store_.order = record;
          store_.order_revision = ++store_.revision;
          *revision = store_.order_revision;
          store_.order_expires_at = now_ + kRecordTtl;
        }
        return applies;
      },
      [&self, complete, is_done, revision](bool answered, bool applied) {
        if (answered && !*is_done) {
          self.order_revision = *revision;
        }
        complete(!answered || applied);
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
      [](bool, bool) {});
}

}  // namespace promotion_model
