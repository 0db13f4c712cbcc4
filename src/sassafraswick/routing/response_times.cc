#include "sassafraswick/routing/response_times.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Upper bound of the first bucket. The last bucket ends at 45 s.
constexpr duration kFirstBound = std::chrono::milliseconds(1);
/// Ratio of the upper bounds of adjacent buckets.
constexpr double kBucketRatio = 1.25;
/// Weight at which all samples are halved.
constexpr double kMaxWeight = 512.0;
/// Weight from which a class's own distribution is used.
constexpr double kMinWeight = 30.0;
/// Fraction of the responses that arrive before a response is late.
constexpr double kLateQuantile = 0.99;
/// Divisor of the latency objective, while the distribution is unknown.
constexpr int kObjectiveDivisor = 2;

}  // namespace

void recent_response_times::Record(duration took) noexcept {
  double bound = static_cast<double>(kFirstBound.count());
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && static_cast<double>(took.count()) > bound) {
    bound *= kBucketRatio;
    ++bucket;
  }
  counts_[bucket] += 1.0;
  weight_ += 1.0;
  if (weight_ >= kMaxWeight) {
    for (double& count : counts_) {
      count /= 2.0;
    }
    weight_ /= 2.0;
  }
}

duration recent_response_times::Quantile(double fraction) const noexcept {
  double bound = static_cast<double>(kFirstBound.count());
  double below = counts_[0];
  for (std::size_t i = 1; i < kBuckets && below < fraction * weight_; ++i) {
    below += counts_[i];
    bound *= kBucketRatio;
  }
  return duration(static_cast<duration::rep>(bound));
}

duration response_times::LateAfter(const response_class& route) const {
  const auto found = classes_.find(route);
  const bool is_known =
      found != classes_.end() && found->second.Weight() >= kMinWeight;
  return is_known ? found->second.Quantile(kLateQuantile)
                  : route.target_latency / kObjectiveDivisor;
}

}  // namespace sassafraswick
