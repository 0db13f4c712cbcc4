#ifndef TEST_BENCHMARK_REPORT_H_
#define TEST_BENCHMARK_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "test/benchmark/traffic.h"
#include "test/support/history.h"

/// @file
/// The brief's four measures, worked out from what was offered.

namespace benchmark {

/// Rate limit of each organisation in a scenario.
struct scenario_limit {
  double rate = 0;
  double burst = 0;
};

struct measurements {
  std::uint64_t offered = 0;
  std::uint64_t done = 0;
  std::uint64_t over_rate = 0;
  std::uint64_t failed = 0;
  /// Statements refused by rate although their organisation offered less than
  /// its rate, as a share of what those organisations offered.
  double wrongful_refusals = 0;
  /// The same for buckets of rate/n and burst/n on each host.
  double wrongful_refusals_even_split = 0;
  /// Least share of its fair share that an organisation within its rate got.
  double worst_served = 1;
  double worst_served_even_split = 1;
  /// Largest count above rate x window + burst in any window.
  double worst_excess = 0;
  /// Longest time without an acknowledged write over all clients of a group.
  double failover_gap_ms = 0;
  double replica_read_fraction = 0;
  /// Share of reads that replicas could have served.
  double replica_eligible_fraction = 0;
  double latency_p50_ms = 0;
  double latency_p95_ms = 0;
  double latency_p99_ms = 0;
};

/// Computes what follows from the statements alone.
[[nodiscard]] measurements ComputeMeasurements(
    const std::vector<offered_statement>& statements,
    const scenario_limit& limit, const traffic_options& options,
    std::size_t proxies);

/// Text for people: one bar a measure, beside its baseline.
[[nodiscard]] std::string PlotText(const measurements& found);

}  // namespace benchmark

#endif  // TEST_BENCHMARK_REPORT_H_
