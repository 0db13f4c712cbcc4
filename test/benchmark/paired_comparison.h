#ifndef TEST_BENCHMARK_PAIRED_COMPARISON_H_
#define TEST_BENCHMARK_PAIRED_COMPARISON_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Comparison of two builds by runs of the same days with the same seeds.

namespace benchmark {

/// Figures of one run: worth, its parts and its prices, by name.
using run_figures = std::map<std::string, double>;

/// Extracts the figures from the bench's output of one run: the line that
/// begins with `worth`, and the lines of prices below it.
/// @return Nothing if the output has no such line, as of a day that was given
/// up.
[[nodiscard]] std::optional<run_figures> ParseRun(const std::string& output);

/// Difference of a figure over pairs of runs.
struct paired_difference {
  std::size_t pairs = 0;
  double first_mean = 0.0;
  double second_mean = 0.0;
  /// Mean of second less first.
  double difference = 0.0;
  /// Standard deviation of the differences.
  double spread = 0.0;
  /// The mean difference exceeds twice its standard error. False for fewer than
  /// three pairs.
  bool stands_out = false;
};

/// Compares values at the same positions of two vectors of equal size.
[[nodiscard]] paired_difference ComparePairs(const std::vector<double>& first,
                                             const std::vector<double>& second);

}  // namespace benchmark

#endif  // TEST_BENCHMARK_PAIRED_COMPARISON_H_
