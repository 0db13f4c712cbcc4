#ifndef TEST_BENCHMARK_PLOT_H_
#define TEST_BENCHMARK_PLOT_H_

#include <string>
#include <vector>

/// @file
/// Plots distributions as SVG files with cairo.

namespace benchmark {

/// A named set of values, drawn as one curve.
struct plotted_series {
  std::string name;
  std::vector<double> values;
};

/// Draws the cumulative distribution of each series.
/// @param unit Label of the horizontal axis.
/// @return False if the file cannot be written.
[[nodiscard]] bool PlotDistributions(const std::string& path,
                                     const std::string& title,
                                     const std::string& unit,
                                     std::vector<plotted_series> series);

}  // namespace benchmark

#endif  // TEST_BENCHMARK_PLOT_H_
