#ifndef SASSAFRASWICK_ROUTING_INSTANCE_SCORE_H_
#define SASSAFRASWICK_ROUTING_INSTANCE_SCORE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/routing/response_times.h"

/// @file
/// Rates the instances of a group by the statements that this host sent to
/// them: how slow and how reliable each is in comparison with the others. What
/// an instance says about its own health does not count.

namespace sassafraswick {

/// Statements that are assumed to take similar times.
struct statement_class {
  response_class route;
  /// Only the primary can run the statement.
  bool needs_primary = false;

  auto operator<=>(const statement_class&) const = default;
};

[[nodiscard]] inline statement_class StatementClassOf(
    const catalog_route& route, bool writes) noexcept {
  return {ResponseClassOf(route),
          writes || route.consistency == read_consistency::kPrimary};
}

/// Mean times of statements at a group's instances, by class.
class work_estimates {
 public:
  /// Records a statement.
  /// @return Its time as a multiple of the mean of its class before; 1 for the
  /// first one.
  double Record(const statement_class& kind, duration took);

  /// Returns the mean time of a class; zero if it was not measured.
  [[nodiscard]] duration Mean(const statement_class& kind) const;

 private:
  std::map<statement_class, duration> means_;
};

/// What this host has seen of one instance. Observations lose weight with age,
/// so that an instance that recovers is chosen again.
class instance_score {
 public:
  /// Records a statement that the instance served.
  /// @param relative_time Its time as a multiple of the mean of its class.
  void RecordServed(double relative_time, time_point now);

  /// Records a statement that the instance rejected, failed or did not answer.
  void RecordFailure(time_point now);

  /// Returns the estimated time of statements as a multiple of their class's
  /// mean. Near 1 while few were observed.
  [[nodiscard]] double Slowness(time_point now) const;

  /// Returns the estimated fraction of failures. Near 0 while few statements
  /// were observed.
  [[nodiscard]] double FailureRate(time_point now) const;

  /// Returns whether the instance is ejected.
  [[nodiscard]] bool IsEjected(time_point now) const {
    return now < ejected_until_;
  }

  /// Returns whether the instance may be chosen for a statement. After an
  /// ejection the fraction of statements that may rises from
  /// `kMinProbeFraction` to 1 during the time that the ejection took.
  /// @param random Uniformly distributed random number.
  [[nodiscard]] bool Admits(time_point now, std::uint64_t random) const;

  static constexpr double kMinProbeFraction = 0.05;

 private:
  friend bool EjectIfOutlier(instance_score& score,
                             const std::vector<const instance_score*>& others,
                             time_point now);

  void DecayTo(time_point now);
  [[nodiscard]] double Remaining(time_point now) const;
  void Eject(time_point now);

  /// Weighted counts as of `updated_at_`.
  double served_ = 0.0;
  double failed_ = 0.0;
  /// Weighted sum of the logarithms of relative times.
  double slowness_ = 0.0;
  time_point updated_at_;
  time_point ejected_until_;
  duration ejection_ = duration::zero();
};

/// Ejects an instance that fails much more often than the others of its group,
/// unless too many of them are ejected. Repeated ejections take longer.
/// @param others The group's other instances that may be chosen.
/// @return Whether the instance was ejected now.
bool EjectIfOutlier(instance_score& score,
                    const std::vector<const instance_score*>& others,
                    time_point now);

/// Fraction of an instance's slots that statements occupy.
class slot_usage {
 public:
  /// Records a statement that occupied a slot.
  void Record(duration took, time_point now);

  /// Returns the estimated usage by the whole fleet, at most 1.
  /// @param hosts Hosts that are assumed to use the instance like this one.
  [[nodiscard]] double Fraction(std::uint32_t slots, std::uint32_t hosts,
                                time_point now) const;

 private:
  double seconds_ = 0.0;
  time_point updated_at_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_INSTANCE_SCORE_H_
