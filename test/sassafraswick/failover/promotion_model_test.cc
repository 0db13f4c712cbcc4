#include "test/sassafraswick/failover/promotion_model.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace promotion_model {
namespace {

/// Seeds of the run in CI, and of the search for planted faults.
constexpr std::uint64_t kSeeds = 100;

struct totals {
  std::uint64_t broken_seeds = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t promotions = 0;
};

totals PlaySeeds(std::uint64_t first, std::uint64_t count,
                 planted_fault planted) {
  totals sum;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    model_options options;
    options.seed = seed;
    options.planted = planted;
    const model_report report = Play(options);
    sum.broken_seeds += report.broken.empty() ? 0 : 1;
    sum.writes += report.writes_acknowledged;
    sum.reads += report.reads_answered;
    sum.promotions += report.promotions;
    if (planted == planted_fault::kNone && !report.broken.empty()) {
      std::string trace;
      for (const std::string& line : report.trace) {
        trace += line + "\n";
      }
      UNSCOPED_INFO("seed " << seed << "\n" << trace);
    }
  }
  return sum;
}

TEST_CASE("no seed of the model breaks a promise", "[promotion_model]") {
  const totals sum = PlaySeeds(1, kSeeds, planted_fault::kNone);
  CHECK(sum.broken_seeds == 0);
  // A model in which nothing happens proves nothing.
  CHECK(sum.promotions > kSeeds);
  CHECK(sum.writes > kSeeds * 500);
  CHECK(sum.reads > kSeeds * 500);
}

TEST_CASE("the model finds planted faults", "[promotion_model]") {
  const planted_fault planted =
      GENERATE(planted_fault::kNoPermit, planted_fault::kNoWait,
               planted_fault::kAnyInstance, planted_fault::kNoLease);
  CAPTURE(static_cast<int>(planted));
  std::uint64_t seed = 1;
  while (seed <= kSeeds && PlaySeeds(seed, 1, planted).broken_seeds == 0) {
    ++seed;
  }
  CHECK(seed <= kSeeds);
}

// By hand, many seeds: SASSAFRASWICK_MODEL_SEEDS=FIRST:COUNT
// build/test/unit_tests "[model_many]"
TEST_CASE("many seeds of the model", "[.][model_many]") {
  const char* const text = std::getenv("SASSAFRASWICK_MODEL_SEEDS");
  const std::string range = text == nullptr ? "1000:1000" : text;
  const std::size_t colon = range.find(':');
  const totals sum =
      PlaySeeds(std::stoull(range.substr(0, colon)),
                std::stoull(range.substr(colon + 1)), planted_fault::kNone);
  WARN("promotions " << sum.promotions << ", writes " << sum.writes
                     << ", reads " << sum.reads);
  CHECK(sum.broken_seeds == 0);
}

}  // namespace
}  // namespace promotion_model
