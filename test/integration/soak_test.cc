#include "test/platform/soak.h"

#include <catch2/catch.hpp>

/// @file
/// A few seeds of the soak; many are played by hand with `gateway_soak`. Seeds
/// that ever failed stay here, each with its cause.

namespace test_platform {
namespace {

TEST_CASE("gateways keep their promises under faults", "[gateway][soak]") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  const soak_report report = RunSoak(seed, std::chrono::milliseconds(4000));
  INFO("seed " << seed << ": " << Describe(report));
  CHECK(report.Passed());
  CHECK(report.writes_done > 0);
  CHECK(report.reads_done > 0);
}

}  // namespace
}  // namespace test_platform
