#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "sassafraswick/routing/response_times.h"

/// @file
/// Load pattern: a route whose statements differ widely in length, none of them
/// failing. A read used to be broken off after 150 ms or 8 times the mean
/// latency, so that the longest could never be answered.

namespace sassafraswick {
namespace {

const response_class kReports{read_consistency::kBoundedStaleness,
                              std::chrono::milliseconds(800),
                              std::chrono::milliseconds(3000)};

/// Lengths of statements: log-normal around a mean, with a tail of up to
/// 7.5 times the mean.
class statement_lengths {
 public:
  explicit statement_lengths(duration mean) : mean_(mean) {}

  duration Next() {
    constexpr double kTailFraction = 0.01;
    constexpr double kTailFactor = 5.0;
    constexpr double kMaxFactor = 7.5;
    double factor = std::exp(normal_(random_));
    if (uniform_(random_) < kTailFraction) {
      factor *= kTailFactor;
    }
    return duration(static_cast<duration::rep>(
        static_cast<double>(mean_.count()) * std::min(factor, kMaxFactor)));
  }

 private:
  duration mean_;
  std::mt19937_64 random_{7};
  std::normal_distribution<double> normal_{-0.2, 0.6};
  std::uniform_real_distribution<double> uniform_{0.0, 1.0};
};

/// Fraction of statements that count as late.
double LateFraction(duration mean) {
  constexpr int kStatements = 4000;
  statement_lengths lengths(mean);
  response_times times;
  int late = 0;
  for (int i = 0; i < kStatements; ++i) {
    const duration took = lengths.Next();
    late += took > times.LateAfter(kReports) ? 1 : 0;
    times.Record(kReports, took);
  }
  return static_cast<double>(late) / kStatements;
}

TEST_CASE("few statements are late, whatever their usual length",
          "[response_times]") {
  constexpr double kMaxLateFraction = 0.05;
  for (const int mean_ms : {11, 55, 220}) {
    CHECK(LateFraction(std::chrono::milliseconds(mean_ms)) < kMaxLateFraction);
  }
}

TEST_CASE("an unknown class of statements is late at half of its objective",
          "[response_times]") {
  const response_times times;
  CHECK(times.LateAfter(kReports) == std::chrono::milliseconds(400));
}

TEST_CASE("lateness follows a change of the work", "[response_times]") {
  response_times times;
  for (int i = 0; i < 1000; ++i) {
    times.Record(kReports, std::chrono::milliseconds(20));
  }
  CHECK(times.LateAfter(kReports) < std::chrono::milliseconds(30));
  for (int i = 0; i < 100; ++i) {
    times.Record(kReports, std::chrono::milliseconds(200));
  }
  CHECK(times.LateAfter(kReports) >= std::chrono::milliseconds(200));
  for (int i = 0; i < 4000; ++i) {
    times.Record(kReports, std::chrono::milliseconds(2));
  }
  CHECK(times.LateAfter(kReports) < std::chrono::milliseconds(5));
}

}  // namespace
}  // namespace sassafraswick
