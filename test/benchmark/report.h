#ifndef TEST_BENCHMARK_REPORT_H_
#define TEST_BENCHMARK_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "test/benchmark/traffic.h"
#include "test/support/history.h"

/// @file
/// Measurements computed from the offered statements: failover gap, reads on
/// replicas, fairness between organisations and adherence to rate limits.

namespace benchmark {

/// Rate limit of every organisation in a scenario, in statements per second.
struct scenario_limit {
  double rate = 0;
  double burst = 0;
};

struct measurements {
  std::uint64_t offered = 0;
  std::uint64_t done = 0;
  std::uint64_t over_rate = 0;
  std::uint64_t failed = 0;
  /// Fraction of the statements of organisations that offered less than their
  /// rate limit that the limit rejected nevertheless.
  double wrongful_refusals = 0;
  /// The same if each of n hosts enforced rate/n and burst/n on its own.
  double wrongful_refusals_even_split = 0;
  /// Smallest fraction of its statements executed, over the organisations that
  /// offered less than their rate limit.
  double worst_served = 1;
  double worst_served_even_split = 1;
  /// Largest number of statements executed beyond rate x window + burst, over
  /// all windows and organisations.
  double worst_excess = 0;
  /// Longest time without an acknowledged write from any client of a group.
  double failover_gap_ms = 0;
  double replica_read_fraction = 0;
  /// Fraction of reads that replicas could have served.
  double replica_eligible_fraction = 0;
  double latency_p50_ms = 0;
  double latency_p95_ms = 0;
  double latency_p99_ms = 0;
};

/// Computes everything except `replica_read_fraction`, which needs the counters
/// of the hosts.
[[nodiscard]] measurements ComputeMeasurements(
    const std::vector<offered_statement>& statements,
    const scenario_limit& limit, const traffic_options& options,
    std::size_t proxies);

/// Formats the fractions as a text bar chart, each with its baseline.
[[nodiscard]] std::string PlotText(const measurements& found);

}  // namespace benchmark

#endif  // TEST_BENCHMARK_REPORT_H_
