#include "sassafraswick/routing/instance_score.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace sassafraswick {
namespace {

/// Divisor of the weight of a new sample in the mean of its class.
constexpr int kWorkSmoothing = 32;
/// Bounds of a relative time, so that a single long statement decides nothing.
constexpr double kMinRelativeTime = 0.1;
constexpr double kMaxRelativeTime = 10.0;
/// Time constant with which observations lose weight.
constexpr double kScoreTimeConstantSeconds = 5.0;
/// Weights of the assumption that an instance is as fast as the others, and
/// that it does not fail.
constexpr double kNormalSpeedWeight = 2.0;
constexpr double kNoFailureWeight = 8.0;
/// An instance is ejected after this many recent failures, if they are this
/// fraction of its statements and this multiple of the others' fraction.
constexpr double kMinFailures = 2.5;
constexpr double kMinFailureFraction = 0.3;
constexpr double kOutlierFactor = 2.0;
/// Inverse of the fraction of a group that may be ejected at the same time.
constexpr std::size_t kMaxEjectedDivisor = 2;
constexpr duration kMinEjection = std::chrono::milliseconds(250);
constexpr duration kMaxEjection = std::chrono::seconds(4);
/// Time without an ejection, as a multiple of the last one, after which the
/// next one is short again.
constexpr int kEjectionMemoryFactor = 4;
constexpr double kUsageTimeConstantSeconds = 2.0;

double DecayFactor(duration elapsed, double time_constant_seconds) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return std::exp(-std::max(seconds, 0.0) / time_constant_seconds);
}

}  // namespace

double work_estimates::Record(const statement_class& kind, duration took) {
  const auto found = means_.find(kind);
  if (found == means_.end() || found->second <= duration::zero()) {
    means_[kind] = took;
    return 1.0;
  }
  duration& mean = found->second;
  const double relative =
      static_cast<double>(took.count()) / static_cast<double>(mean.count());
  const duration bounded = std::min(
      took, duration(static_cast<duration::rep>(
                kMaxRelativeTime * static_cast<double>(mean.count()))));
  mean += (bounded - mean) / kWorkSmoothing;
  return relative;
}

duration work_estimates::Mean(const statement_class& kind) const {
  const auto found = means_.find(kind);
  return found == means_.end() ? duration::zero() : found->second;
}

double instance_score::Remaining(time_point now) const {
  return DecayFactor(std::chrono::duration_cast<duration>(now - updated_at_),
                     kScoreTimeConstantSeconds);
}

void instance_score::DecayTo(time_point now) {
  const double remaining = Remaining(now);
  served_ *= remaining;
  failed_ *= remaining;
  slowness_ *= remaining;
  updated_at_ = now;
}

void instance_score::RecordServed(double relative_time, time_point now) {
  DecayTo(now);
  served_ += 1.0;
  slowness_ +=
      std::log(std::clamp(relative_time, kMinRelativeTime, kMaxRelativeTime));
}

void instance_score::RecordFailure(time_point now) {
  DecayTo(now);
  failed_ += 1.0;
}

double instance_score::Slowness(time_point now) const {
  const double remaining = Remaining(now);
  return std::exp(slowness_ * remaining /
                  (served_ * remaining + kNormalSpeedWeight));
}

double instance_score::FailureRate(time_point now) const {
  const double remaining = Remaining(now);
  return failed_ * remaining /
         ((served_ + failed_) * remaining + kNoFailureWeight);
}

bool instance_score::Admits(time_point now, std::uint64_t random) const {
  if (IsEjected(now)) {
    return false;
  }
  const duration since =
      std::chrono::duration_cast<duration>(now - ejected_until_);
  if (ejection_ == duration::zero() || since >= ejection_) {
    return true;
  }
  constexpr std::uint64_t kSteps = 4096;
  const double fraction = static_cast<double>(since.count()) /
                          static_cast<double>(ejection_.count());
  const double draw = static_cast<double>(random % kSteps) / kSteps;
  return draw < std::max(fraction, kMinProbeFraction);
}

void instance_score::Eject(time_point now) {
  const bool is_repeated =
      ejection_ > duration::zero() &&
      now - ejected_until_ < ejection_ * kEjectionMemoryFactor;
  ejection_ =
      is_repeated ? std::min(ejection_ * 2, kMaxEjection) : kMinEjection;
  ejected_until_ = now + ejection_;
}

bool EjectIfOutlier(instance_score& score,
                    const std::vector<const instance_score*>& others,
                    time_point now) {
  std::size_t ejected = 0;
  double others_rate = 0.0;
  for (const instance_score* other : others) {
    ejected += other->IsEjected(now) ? 1 : 0;
    others_rate += other->FailureRate(now);
  }
  const bool may_eject =
      !others.empty() &&
      (ejected + 1) * kMaxEjectedDivisor <= others.size() + 1;
  if (score.IsEjected(now) || !may_eject) {
    return false;
  }
  others_rate /= static_cast<double>(others.size());
  const double failed = score.failed_ * score.Remaining(now);
  const double served = score.served_ * score.Remaining(now);
  const bool is_outlier =
      failed >= kMinFailures &&
      failed >= kMinFailureFraction * (failed + served) &&
      score.FailureRate(now) >= kOutlierFactor * others_rate;
  if (is_outlier) {
    score.Eject(now);
  }
  return is_outlier;
}

void slot_usage::Record(duration took, time_point now) {
  seconds_ *=
      DecayFactor(std::chrono::duration_cast<duration>(now - updated_at_),
                  kUsageTimeConstantSeconds);
  seconds_ += std::chrono::duration<double>(took).count();
  updated_at_ = now;
}

double slot_usage::Fraction(std::uint32_t slots, std::uint32_t hosts,
                            time_point now) const {
  const double seconds =
      seconds_ *
      DecayFactor(std::chrono::duration_cast<duration>(now - updated_at_),
                  kUsageTimeConstantSeconds);
  return std::min(1.0, seconds / kUsageTimeConstantSeconds *
                           std::max<std::uint32_t>(hosts, 1) /
                           std::max<std::uint32_t>(slots, 1));
}

}  // namespace sassafraswick
