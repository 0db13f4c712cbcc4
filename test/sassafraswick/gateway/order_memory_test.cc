#include "sassafraswick/gateway/order_memory.h"

#include <catch2/catch.hpp>

/// @file
/// A holder of the failover lease whose store returns from an older copy.

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

const store_revision kClaim{1, 20};
const store_revision kRecord{1, 25};
const store_revision kNextClaim{2, 14};

promotion_order Order(int sent_at) {
  promotion_order order;
  order.instance = "a";
  order.sent_at = At(sent_at);
  order.requests = 1;
  return order;
}

/// A host that held the lease until 3 s, sent an order at 1 s and sees an era
/// begin.
order_memory HeldUntilEra(int seen_at) {
  order_memory memory;
  memory.BeginClaim(kClaim);
  memory.Hold(false, At(3000));
  memory.Remember("pool", Order(1000), kRecord);
  memory.EndClaim(2, true, At(seen_at));
  memory.BeginClaim(kNextClaim);
  memory.Hold(true, At(9000));
  return memory;
}

// Guards against: a host whose order's record went with a store that returned
// from an older copy forgets the order. Seen with: simulation seed 6564, store
// restored, with late orders.
TEST_CASE("an order of this host survives an era", "[order_memory]") {
  const order_memory memory = HeldUntilEra(2000);
  CHECK(memory.IsComplete());
  const std::optional<remembered_order> order =
      memory.FindAdopted("pool", At(5000));
  REQUIRE(order.has_value());
  CHECK(order->order.instance == "a");
  // The record's revision may be given out again.
  CHECK_FALSE(IsKnown(order->record_revision));
  CHECK_FALSE(memory.FindAdopted("pool", At(11'000)).has_value());
}

TEST_CASE("who did not hold the lease as an era began misses orders",
          "[order_memory]") {
  order_memory memory = HeldUntilEra(3001);
  CHECK_FALSE(memory.IsComplete());
  SECTION("until they can't take effect") {
    memory.Hold(false, At(20'000));
    CHECK(memory.IsComplete());
  }
  SECTION("also over a second era") {
    memory.EndClaim(3, true, At(5000));
    memory.BeginClaim({3, 9});
    CHECK_FALSE(memory.IsComplete());
  }
}

TEST_CASE("an order is adopted in its era only under the same claim",
          "[order_memory]") {
  order_memory memory;
  memory.BeginClaim(kClaim);
  memory.Remember("pool", Order(1000), kRecord);
  memory.EndClaim(1, true, At(2000));
  SECTION("which nobody else had meanwhile") {
    memory.BeginClaim(kClaim);
    CHECK(memory.FindAdopted("pool", At(3000))->record_revision == kRecord);
  }
  SECTION("unless it was not sent") {
    memory.Withdraw("pool", Order(1000));
    memory.BeginClaim(kClaim);
    CHECK_FALSE(memory.FindAdopted("pool", At(3000)).has_value());
  }
  SECTION("as the next holder's record tells more") {
    memory.BeginClaim({1, 40});
    CHECK_FALSE(memory.FindAdopted("pool", At(3000)).has_value());
  }
}

}  // namespace
}  // namespace sassafraswick
