#include "sassafraswick/core/log_rate_limiter.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("lines of one event beyond the rate are dropped and counted",
          "[log_budget]") {
  log_rate_limiter limiter;
  const time_point start = time_point(std::chrono::hours(1));
  int written = 0;
  std::uint64_t dropped = 0;
  for (int now = 0; now < 10'000; ++now) {
    const std::optional<std::uint64_t> dropped_before =
        limiter.TryWrite(start + std::chrono::milliseconds(now));
    written += dropped_before.has_value() ? 1 : 0;
    dropped += dropped_before.value_or(0);
  }
  CHECK(written <= 10 * kLogLinesPerSecond + kLogBurstLines);
  CHECK(written >= 10 * kLogLinesPerSecond);
  // The next line reports the number dropped.
  const std::optional<std::uint64_t> last =
      limiter.TryWrite(start + std::chrono::minutes(1));
  REQUIRE(last.has_value());
  CHECK(dropped + *last + static_cast<std::uint64_t>(written) == 10'000);
}

}  // namespace
}  // namespace sassafraswick
