#include "sassafraswick/limits/fair_scheduler.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("organisations are served in proportion to their weights", "[fair]") {
  fair_scheduler scheduler;
  std::map<std::string, int> served;
  for (int i = 0; i < 400; ++i) {
    const std::string first =
        scheduler.ServiceOrder({"greedy", "heavy", "modest"})[0];
    scheduler.Charge(first, first == "heavy" ? 2 : 1);
    ++served[first];
  }
  CHECK(served["greedy"] == 100);
  CHECK(served["modest"] == 100);
  CHECK(served["heavy"] == 200);
}

TEST_CASE("an idle organisation accumulates no credit", "[fair]") {
  fair_scheduler scheduler;
  for (int i = 0; i < 100; ++i) {
    scheduler.Charge("busy", 1);
  }
  int idle_turns = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string first = scheduler.ServiceOrder({"busy", "idle"})[0];
    scheduler.Charge(first, 1);
    idle_turns += first == "idle" ? 1 : 0;
  }
  CHECK(idle_turns <= 11);
}

}  // namespace
}  // namespace sassafraswick
