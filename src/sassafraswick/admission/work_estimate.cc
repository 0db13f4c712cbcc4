#include "sassafraswick/admission/work_estimate.h"

namespace sassafraswick {
namespace {

/// Divisor of a new sample's weight in the moving average.
constexpr int kSmoothing = 16;
constexpr duration kUnknownWork = std::chrono::milliseconds(10);
constexpr double kHighQuantile = 0.95;
/// Weight from which the distribution of a class is used.
constexpr double kMinWeight = 30.0;
/// Ratio of the high quantile to the mean while the distribution is unknown.
constexpr int kAssumedSpread = 3;

}  // namespace

void work_estimate::Average(duration& mean, duration took) noexcept {
  mean = mean == duration::zero()
             ? took
             : (mean * (kSmoothing - 1) + took) / kSmoothing;
}

void work_estimate::Record(const work_class& statement, duration took) {
  class_times& times = classes_[statement];
  Average(times.mean, took);
  Average(overall_mean_, took);
  times.distribution.Record(took);
}

duration work_estimate::Mean(const work_class& statement) const {
  const auto found = classes_.find(statement);
  if (found != classes_.end()) {
    return found->second.mean;
  }
  return overall_mean_ == duration::zero() ? kUnknownWork : overall_mean_;
}

duration work_estimate::High(const work_class& statement) const {
  const auto found = classes_.find(statement);
  const bool is_known = found != classes_.end() &&
                        found->second.distribution.Weight() >= kMinWeight;
  return is_known ? found->second.distribution.Quantile(kHighQuantile)
                  : Mean(statement) * kAssumedSpread;
}

}  // namespace sassafraswick
