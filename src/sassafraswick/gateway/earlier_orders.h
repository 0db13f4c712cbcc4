#ifndef SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_
#define SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/gateway/order_memory.h"
#include "sassafraswick/gateway/order_records.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// What was ordered before the current claim of the failover lease: by earlier
/// holders, as recorded in the store, or by this host before it lost the lease.

namespace sassafraswick {

template <gateway_platform Platform>
class earlier_orders {
 public:
  using codec = typename Platform::codec;
  using order_map = typename order_records<Platform>::order_map;

  earlier_orders(gateway_state<codec>& gateway,
                 order_records<Platform>& records)
      : gateway_(gateway), records_(records) {}

  /// Reads the records under a new claim.
  void BeginClaim(const store_revision& claim) {
    memory_.BeginClaim(claim);
    recorded_.reset();
    Spawn(gateway_.context, "earlier_orders",
          [this, claim] { return Read(claim); });
  }

  /// Stops reading, as this host doesn't hold the lease.
  void EndClaim(store_era era, time_point now) {
    memory_.EndClaim(era, recorded_.has_value(), now);
  }

  [[nodiscard]] order_memory& Memory() { return memory_; }
  [[nodiscard]] bool AreKnown() const {
    return recorded_.has_value() && memory_.IsComplete();
  }

  /// Lets a replacement of a group adopt an order that may still take effect.
  /// Must be called once `AreKnown`.
  /// @return Revision of the order's record.
  store_revision Adopt(const std::string& pool, replacement_state& state) {
    const std::optional<remembered_order> own =
        memory_.FindAdopted(pool, monotonic_clock::now());
    if (own.has_value()) {
      state.order = own->order;
      LogAdopted(pool, *state.order);
      return own->record_revision;
    }
    const auto recorded = recorded_->find(pool);
    if (recorded == recorded_->end()) {
      return {};
    }
    const order_record& record = recorded->second.record;
    InheritOrder(state, record.instance, record.requests, read_at_);
    LogAdopted(pool, *state.order);
    return recorded->second.revision;
  }

 private:
  boost::asio::awaitable<void> Read(store_revision claim) {
    constexpr duration kRetryDelay = std::chrono::milliseconds(250);
    while (claim == memory_.Claim()) {
      std::optional<order_map> recorded = co_await records_.Read();
      if (claim != memory_.Claim()) {
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
  order_memory memory_;
  /// By pool, once they were read under the current claim.
  std::optional<order_map> recorded_;
  time_point read_at_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_EARLIER_ORDERS_H_
