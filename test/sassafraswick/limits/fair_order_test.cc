#include "sassafraswick/limits/fair_order.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("a greedy organisation gets its weight and no more", "[fair]") {
  fair_order order;
  std::map<std::string, int> served;
  for (int i = 0; i < 400; ++i) {
    const std::string first = order.Order({"greedy", "heavy", "modest"})[0];
    order.Charge(first, first == "heavy" ? 2 : 1);
    ++served[first];
  }
  CHECK(served["greedy"] == 100);
  CHECK(served["modest"] == 100);
  CHECK(served["heavy"] == 200);
}

TEST_CASE("a rested organisation gains no credit", "[fair]") {
  fair_order order;
  for (int i = 0; i < 100; ++i) {
    order.Charge("busy", 1);
  }
  int rested_turns = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string first = order.Order({"busy", "rested"})[0];
    order.Charge(first, 1);
    rested_turns += first == "rested" ? 1 : 0;
  }
  CHECK(rested_turns <= 11);
}

}  // namespace
}  // namespace sassafraswick
