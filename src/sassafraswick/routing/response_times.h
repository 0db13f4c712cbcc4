#ifndef SASSAFRASWICK_ROUTING_RESPONSE_TIMES_H_
#define SASSAFRASWICK_ROUTING_RESPONSE_TIMES_H_

#include <array>
#include <compare>
#include <cstddef>
#include <map>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/core/time.h"

/// @file
/// Distributions of the response times of reads. They show when a response is
/// late for its kind of statement: a long statement is not a failed one.

namespace sassafraswick {

/// Routes with the same objectives, whose statements are assumed to take
/// similar times.
struct response_class {
  read_consistency consistency = read_consistency::kPrimary;
  duration target_latency = duration::zero();
  duration statement_timeout = duration::zero();

  auto operator<=>(const response_class&) const = default;
};

[[nodiscard]] inline response_class ResponseClassOf(
    const catalog_route& route) noexcept {
  return {route.consistency, route.target_latency, route.statement_timeout};
}

/// Histogram of recent response times on a logarithmic scale. Older samples
/// lose weight as new ones arrive.
class recent_response_times {
 public:
  void Record(duration took) noexcept;

  /// Returns an upper bound of a quantile, exact to the width of a bucket.
  /// @param fraction Quantile, between 0 and 1.
  [[nodiscard]] duration Quantile(double fraction) const noexcept;

  /// Number of samples, weighted by age.
  [[nodiscard]] double Weight() const noexcept { return weight_; }

 private:
  static constexpr std::size_t kBuckets = 48;

  std::array<double, kBuckets> counts_{};
  double weight_ = 0.0;
};

/// Response times of reads at all instances, by class of route.
class response_times {
 public:
  void Record(const response_class& route, duration took) {
    classes_[route].Record(took);
  }

  /// Returns the time after which a response is late: slower than nearly all
  /// recent ones of its class or, while too few are known, half of the route's
  /// latency objective.
  [[nodiscard]] duration LateAfter(const response_class& route) const;

 private:
  std::map<response_class, recent_response_times> classes_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_RESPONSE_TIMES_H_
