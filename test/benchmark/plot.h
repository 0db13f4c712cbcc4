#ifndef TEST_BENCHMARK_PLOT_H_
#define TEST_BENCHMARK_PLOT_H_

#include <string>
#include <vector>

/// @file
/// Draws distributions as SVG, through cairo.

namespace benchmark {

/// Values of one kind of run.
struct plotted_series {
  std::string name;
  std::vector<double> values;
};

/// Draws for each series the share of values up to each value.
/// @param unit Name and unit of the values.
/// @return False if the file cannot be written.
[[nodiscard]] bool PlotDistributions(const std::string& path,
                                     const std::string& title,
                                     const std::string& unit,
                                     std::vector<plotted_series> series);

}  // namespace benchmark

#endif  // TEST_BENCHMARK_PLOT_H_
