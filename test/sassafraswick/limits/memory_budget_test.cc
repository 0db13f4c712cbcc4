#include "sassafraswick/limits/memory_budget.h"

#include <catch2/catch.hpp>

#include "sassafraswick/limits/caller_limits.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kCapacity = 1'000'000;

TEST_CASE("small holdings are never counted", "[limits]") {
  memory_budget budget(kCapacity);
  for (memory_budget::holder_id holder = 0; holder < 1000; ++holder) {
    budget.Set(holder, kUncountedBytes, true);
  }
  CHECK(budget.Used() == 0);
  budget.Set(1, kCapacity + 1, true);
  CHECK(budget.FindExcess() == 1);
  budget.Remove(1);
  CHECK(budget.Used() == 0);
  CHECK_FALSE(budget.FindExcess().has_value());
}

TEST_CASE("the largest holder without progress is closed first", "[limits]") {
  memory_budget budget(kCapacity);
  budget.Set(1, 300'000, true);
  budget.Set(2, 500'000, true);
  budget.Set(3, 100'000, true);
  CHECK_FALSE(budget.FindExcess().has_value());
  budget.Set(1, 400'000, true);
  // Sessions 1 and 2 are of one size class; 2 changed less recently.
  budget.Set(3, 200'000, true);
  CHECK(budget.FindExcess() == 2);
  budget.Set(2, 500'000, false);
  CHECK(budget.FindExcess() == 1);
  budget.Remove(1);
  CHECK_FALSE(budget.FindExcess().has_value());
}

TEST_CASE("nothing is closed while all holders are at work", "[limits]") {
  memory_budget budget(kCapacity);
  budget.Set(1, 2 * kCapacity, false);
  CHECK_FALSE(budget.FindExcess().has_value());
  CHECK(budget.IsExceeded());
}

TEST_CASE("bounds follow from memory and descriptors", "[limits]") {
  process_limits limits;
  limits.memory_mb = 112;
  limits.descriptors = 8192;
  const caller_bounds small = DeriveCallerBounds(limits, 20'000);
  CHECK(small.max_held_bytes == 28 * std::size_t{1'048'576});
  CHECK(small.max_sessions == 6993);
  limits.descriptors = 3010;
  CHECK(DeriveCallerBounds(limits, 20'000).max_sessions == 2459);
  limits.descriptors.reset();
  CHECK(DeriveCallerBounds(limits, 100'000).max_sessions == 7168);
}

}  // namespace
}  // namespace sassafraswick
