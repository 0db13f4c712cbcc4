#include "sassafraswick/routing/choose_target.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

target_option Option(int latency_ms) {
  target_option option;
  option.slots = 3;
  option.latency = std::chrono::milliseconds(latency_ms);
  option.has_connection = true;
  return option;
}

TEST_CASE("no target is chosen without options", "[choose_target]") {
  CHECK_FALSE(ChooseTarget({}, 1).has_value());
}

TEST_CASE("a faster or less loaded instance is preferred", "[choose_target]") {
  target_option loaded = Option(20);
  loaded.in_flight = 6;
  for (std::uint64_t random = 0; random < 100; ++random) {
    CHECK(ChooseTarget({Option(60), Option(20)}, random) == 1U);
    CHECK(ChooseTarget({loaded, Option(20)}, random) == 1U);
  }
}

TEST_CASE("reads are distributed among equal instances", "[choose_target]") {
  int first = 0;
  for (std::uint64_t random = 0; random < 1000; ++random) {
    first += ChooseTarget({Option(20), Option(20)}, random * 7919) == 0U;
  }
  CHECK(first > 300);
  CHECK(first < 700);
}

TEST_CASE("a replica is preferred to the primary", "[choose_target]") {
  target_option primary = Option(20);
  primary.is_primary = true;
  CHECK(ChooseTarget({primary, Option(25)}, 3) == 1U);
}

// Regression (standard days of klv-transform): three reads in four went to
// another zone, and this traffic was half of all costs.
TEST_CASE("reads stay in the zone until its instance is slower or busier",
          "[choose_target]") {
  target_option near = Option(20);
  target_option far = Option(20);
  far.is_remote = true;
  for (std::uint64_t random = 0; random < 100; ++random) {
    CHECK(ChooseTarget({far, near}, random) == 1U);
  }
  near.latency = std::chrono::milliseconds(50);
  CHECK(ChooseTarget({far, near}, 3) == 0U);
  near = Option(20);
  near.in_flight = 4;
  CHECK(ChooseTarget({far, near}, 3) == 0U);
  // If all instances are slow, load outweighs the zone.
  near = Option(200);
  near.in_flight = 6;
  far.latency = std::chrono::milliseconds(120);
  CHECK(ChooseTarget({far, near}, 3) == 0U);
  // An instance is chosen although none is in the host's zone.
  CHECK(ChooseTarget({far, far}, 3).has_value());
}

TEST_CASE("a replica's wait is weighed against the primary's latency",
          "[choose_target]") {
  target_option primary = Option(20);
  primary.is_primary = true;
  target_option behind = Option(20);
  behind.wait = std::chrono::milliseconds(60);
  CHECK(ChooseTarget({primary, behind}, 3) == 0U);
  primary.latency = std::chrono::milliseconds(120);
  CHECK(ChooseTarget({primary, behind}, 3) == 1U);
}

// Regression (gateway_measures replicas): if the primary responded within a
// millisecond, replicas were never chosen and therefore never measured.
TEST_CASE("an instance without a measurement counts as the fastest",
          "[choose_target]") {
  target_option primary = Option(1);
  primary.is_primary = true;
  target_option unmeasured = Option(0);
  CHECK(ChooseTarget({primary, unmeasured}, 3) == 1U);
  unmeasured.has_connection = false;
  unmeasured.connect_time = std::chrono::microseconds(200);
  CHECK(ChooseTarget({primary, unmeasured}, 3) == 1U);
  CHECK(ChooseTarget({Option(0), Option(0)}, 3).has_value());
}

TEST_CASE("an avoided instance is chosen only if all are avoided",
          "[choose_target]") {
  target_option avoided = Option(1);
  avoided.avoid = true;
  CHECK(ChooseTarget({avoided, Option(500)}, 3) == 1U);
  CHECK(ChooseTarget({avoided}, 3) == 0U);
}

}  // namespace
}  // namespace sassafraswick
