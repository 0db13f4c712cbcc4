#ifndef SASSAFRASWICK_PROXY_METRICS_H_
#define SASSAFRASWICK_PROXY_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Counters and latency quantiles of one host.

namespace sassafraswick {

/// Streaming estimate of the quantiles of a duration.
class latency_metric {
 public:
  /// Probabilities whose quantiles are estimated.
  static constexpr std::array<double, 3> kProbabilities{0.5, 0.95, 0.99};

  latency_metric()
      : samples_(boost::accumulators::extended_p_square_probabilities =
                     kProbabilities) {}

  void Record(duration sample) { samples_(ToMilliseconds(sample)); }

  [[nodiscard]] std::size_t Count() const {
    return boost::accumulators::count(samples_);
  }
  [[nodiscard]] double MeanMilliseconds() const {
    return Count() == 0 ? 0.0 : boost::accumulators::mean(samples_);
  }
  [[nodiscard]] double MaxMilliseconds() const {
    return Count() == 0 ? 0.0 : boost::accumulators::max(samples_);
  }
  /// @param probability One of `kProbabilities`.
  [[nodiscard]] double QuantileMilliseconds(double probability) const {
    return Count() == 0
               ? 0.0
               : boost::accumulators::quantile(
                     samples_,
                     boost::accumulators::quantile_probability = probability);
  }

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  accumulator samples_;
};

/// Admission counters and latency of one organisation.
struct organisation_metrics {
  std::uint64_t admitted = 0;
  std::uint64_t refused_by_limit = 0;
  std::uint64_t refused_by_load = 0;
  latency_metric latency;
};

/// All metrics of a host.
struct host_metrics {
  std::uint64_t sessions_opened = 0;
  std::uint64_t authentication_failures = 0;
  std::uint64_t protocol_errors = 0;
  std::uint64_t sessions_ended_by_withdrawal = 0;
  /// Connections closed at once since the host had too many sessions.
  std::uint64_t sessions_refused = 0;
  /// Sessions closed since the host held too much for its callers.
  std::uint64_t sessions_closed_for_memory = 0;
  /// Sessions closed since a message or response took too long to transfer.
  std::uint64_t sessions_closed_for_slowness = 0;
  /// Messages and bytes sent to other hosts.
  std::uint64_t peer_messages = 0;
  std::uint64_t peer_bytes = 0;
  std::map<std::string, organisation_metrics> organisations;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_METRICS_H_
