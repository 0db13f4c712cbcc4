#include "test/benchmark/paired_comparison.h"

#include <catch2/catch.hpp>

namespace benchmark {
namespace {

TEST_CASE("figures of a run are read from the bench's output",
          "[paired_comparison]") {
  const std::optional<run_figures> figures = ParseRun(
      "day  score\n"
      "worth 0.763 = whole day 0.976 (weight 0.6), worst windows 0.942 (weight "
      "0.25), worst class 0.938 (weight 0.15) less prices\n"
      "  -0.1523  3653.0 machine-seconds\n"
      "  -0.0075  22555.0 new connections to servers\n"
      "\nseen\n");
  REQUIRE(figures.has_value());
  CHECK(figures->at("worth") == Approx(0.763));
  CHECK(figures->at("whole day") == Approx(0.976));
  CHECK(figures->at("worst windows") == Approx(0.942));
  CHECK(figures->at("worst class") == Approx(0.938));
  CHECK(figures->at("price of new connections to servers") == Approx(-0.0075));
  CHECK_FALSE(ParseRun("the day was given up").has_value());
}

TEST_CASE("a difference stands out from its spread or does not",
          "[paired_comparison]") {
  const paired_difference clear =
      ComparePairs({0.70, 0.60, 0.80, 0.75}, {0.75, 0.66, 0.84, 0.80});
  CHECK(clear.difference == Approx(0.05));
  CHECK(clear.stands_out);
  const paired_difference noise =
      ComparePairs({0.70, 0.60, 0.80, 0.75}, {0.75, 0.55, 0.84, 0.72});
  CHECK_FALSE(noise.stands_out);
  CHECK_FALSE(ComparePairs({0.5, 0.5}, {0.9, 0.9}).stands_out);
  CHECK(ComparePairs({}, {}).pairs == 0);
}

}  // namespace
}  // namespace benchmark
