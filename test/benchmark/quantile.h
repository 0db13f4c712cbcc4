#ifndef TEST_BENCHMARK_QUANTILE_H_
#define TEST_BENCHMARK_QUANTILE_H_

#include <cstddef>
#include <vector>

/// @file
/// Quantiles of measured values.

namespace benchmark {

/// Returns a quantile of ascending values, rounded down to one of them; 0 if
/// there are none.
[[nodiscard]] inline double Quantile(const std::vector<double>& sorted,
                                     double fraction) {
  if (sorted.empty()) {
    return 0.0;
  }
  const double at = fraction * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(at)];
}

}  // namespace benchmark

#endif  // TEST_BENCHMARK_QUANTILE_H_
