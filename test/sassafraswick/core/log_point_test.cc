#include "sassafraswick/core/log_point.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("log points are compared by term before position", "[log_point]") {
  CHECK(IsBehind({1, 100}, {2, 1}));
  CHECK_FALSE(IsBehind({2, 1}, {1, 100}));
  CHECK(IsBehind({2, 1}, {2, 2}));
}

TEST_CASE("a point past the start of a later term is discarded",
          "[log_point]") {
  const term_history history{{1, 0}, {3, 10}};
  CHECK_FALSE(IsDiscarded({1, 10}, history));
  CHECK(IsDiscarded({1, 11}, history));
  CHECK(IsDiscarded({2, 11}, history));
  CHECK_FALSE(IsDiscarded({3, 99}, history));
}

}  // namespace
}  // namespace sassafraswick
