#include "sassafraswick/limits/capacity_grant.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

TEST_CASE("a total is divided by max-min fairness", "[capacity]") {
  using shares = std::map<std::string, std::uint32_t>;
  CHECK(MaxMinFairShares(10, {{"a", 1}, {"b", 20}, {"c", 20}}) ==
        shares{{"a", 1}, {"b", 5}, {"c", 4}});
  CHECK(MaxMinFairShares(10, {{"a", 3}}) == shares{{"a", 3}});
}

TEST_CASE("an allowance grows only into units that others released",
          "[capacity]") {
  capacity_table table;
  CHECK(GrantCapacity(table, 10, "a", {0, 10, 0}, At(0)) == 10);
  CHECK(GrantCapacity(table, 10, "b", {0, 10, 0}, At(1)) == 0);
  CHECK(GrantCapacity(table, 10, "a", {10, 10, 10}, At(2)) == 5);
  CHECK(GrantCapacity(table, 10, "b", {0, 10, 0}, At(3)) == 0);
  CHECK(GrantCapacity(table, 10, "a", {5, 10, 5}, At(4)) == 5);
  CHECK(GrantCapacity(table, 10, "b", {0, 10, 0}, At(5)) == 5);
}

TEST_CASE("a host's units are available after its lease expires",
          "[capacity]") {
  capacity_table table;
  CHECK(GrantCapacity(table, 4, "a", {0, 4, 0}, At(0)) == 4);
  CHECK(GrantCapacity(table, 4, "b", {0, 4, 0}, At(2999)) == 0);
  CHECK(GrantCapacity(table, 4, "b", {0, 4, 0}, At(3000)) == 4);
}

TEST_CASE("units in use never exceed the total although responses are lost",
          "[capacity]") {
  constexpr std::uint32_t kTotal = 12;
  constexpr std::size_t kHosts = 6;
  const std::uint64_t seed = GENERATE(range(1, 11));
  std::mt19937_64 random(seed);
  capacity_table table;
  std::vector<std::uint32_t> held(kHosts, 0);
  std::vector<std::uint32_t> allowed(kHosts, 0);
  for (int step = 0; step < 5000; ++step) {
    const std::size_t host = random() % kHosts;
    const std::uint32_t wanted = static_cast<std::uint32_t>(random() % 10);
    const std::uint32_t response =
        GrantCapacity(table, kTotal, std::to_string(host),
                      {held[host], wanted, allowed[host]}, At(step));
    if (random() % 4 != 0) {
      allowed[host] = response;
    }
    held[host] =
        std::min(allowed[host], static_cast<std::uint32_t>(random() % 10));
    std::uint32_t sum = 0;
    for (const std::uint32_t each : held) {
      sum += each;
    }
    REQUIRE(sum <= kTotal);
  }
}

}  // namespace
}  // namespace sassafraswick
