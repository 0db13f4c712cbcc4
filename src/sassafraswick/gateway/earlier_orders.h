#ifndef SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_
#define SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/gateway/order_records.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// What was ordered before the current claim of the failover lease: by earlier
/// holders, as recorded in the store, or by this host before it lost the lease.

namespace sassafraswick {

/// An order that this host knew of when it lost the failover lease.
struct remembered_order {
  promotion_order order;
  /// Of its record; unknown if it was sent without one or is inherited.
  store_revision record_revision;
  /// Revision of the claim under which this host held the lease.
  store_revision claim;
};

/// Returns whether a remembered order is adopted under a new claim. Under the
/// same claim nobody else has ordered anything.
/// @param has_record The store has a record of an order for the group.
[[nodiscard]] inline bool MayAdopt(const remembered_order& remembered,
                                   const store_revision& claim, bool has_record,
                                   time_point now) {
  const bool was_unrecorded =
      !IsKnown(remembered.record_revision) && !remembered.order.is_inherited;
  return (remembered.claim == claim || (was_unrecorded && !has_record)) &&
         now - remembered.order.sent_at < replacement_settings().order_lifetime;
}

template <gateway_platform Platform>
class earlier_orders {
 public:
  using codec = typename Platform::codec;

  earlier_orders(gateway_state<codec>& gateway,
                 order_records<Platform>& records)
      : gateway_(gateway), records_(records) {}

  /// Reads the records under a new claim.
  void BeginClaim(const store_revision& claim) {
    claim_ = claim;
    recorded_.reset();
    Spawn(gateway_.context, "earlier_orders",
          [this, claim] { return Read(claim); });
  }

  /// Stops reading, as this host doesn't hold the lease.
  void EndClaim() { claim_ = store_revision(); }

  [[nodiscard]] const store_revision& Claim() const { return claim_; }
  [[nodiscard]] bool AreKnown() const { return recorded_.has_value(); }

  /// Keeps an outstanding order of the claim that ends.
  void Remember(const std::string& pool, const promotion_order& order,
                const store_revision& record_revision) {
    remembered_[pool] = {order, record_revision, claim_};
  }
  void Forget(const std::string& pool) { remembered_.erase(pool); }

  /// Returns whether a request is the last one of a remembered order.
  [[nodiscard]] bool IsRemembered(const std::string& pool,
                                  const promotion_order& request) const {
    const auto found = remembered_.find(pool);
    return found != remembered_.end() &&
           found->second.order.sent_at == request.sent_at;
  }

  /// Lets a replacement of a group adopt an order that may still take effect.
  /// Must be called once `AreKnown`.
  /// @return Revision of the order's record if it is this host's own.
  store_revision Adopt(const std::string& pool, replacement_state& state) {
    const auto record = recorded_->find(pool);
    const bool has_record = record != recorded_->end();
    const auto own = remembered_.find(pool);
    if (own != remembered_.end() &&
        MayAdopt(own->second, claim_, has_record, monotonic_clock::now())) {
      state.order = own->second.order;
      LogAdopted(pool, *state.order);
      return own->second.record_revision;
    }
    if (has_record) {
      InheritOrder(state, record->second.instance, record->second.requests,
                   read_at_);
      LogAdopted(pool, *state.order);
    }
    return {};
  }

 private:
  boost::asio::awaitable<void> Read(store_revision claim) {
    constexpr duration kRetryDelay = std::chrono::milliseconds(250);
    while (claim == claim_) {
      std::optional<std::map<std::string, order_record>> recorded =
          co_await records_.Read();
      if (claim != claim_) {
        co_return;
      }
      if (recorded.has_value()) {
        recorded_ = std::move(recorded);
        read_at_ = monotonic_clock::now();
        co_return;
      }
      co_await Sleep(kRetryDelay);
    }
  }

  static void LogAdopted(const std::string& pool,
                         const promotion_order& order) {
    Log(log_level::kInfo, "promotion_inherited",
        {{"pool", pool},
         {"target", order.instance},
         {"requests", std::to_string(order.requests)}});
  }

  gateway_state<codec>& gateway_;
  order_records<Platform>& records_;
  /// Unknown while this host does not hold the lease.
  store_revision claim_;
  /// By pool, once they were read under the current claim.
  std::optional<std::map<std::string, order_record>> recorded_;
  time_point read_at_;
  std::map<std::string, remembered_order> remembered_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_
