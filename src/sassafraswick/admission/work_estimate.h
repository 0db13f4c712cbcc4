#ifndef SASSAFRASWICK_ADMISSION_WORK_ESTIMATE_H_
#define SASSAFRASWICK_ADMISSION_WORK_ESTIMATE_H_

#include <compare>
#include <cstdint>
#include <map>

#include "sassafraswick/core/time.h"
#include "sassafraswick/routing/response_times.h"

/// @file
/// Expected time for which a statement occupies a slot of an instance.

namespace sassafraswick {

/// What a statement does at an instance.
enum class work_kind : std::uint8_t {
  kRead,
  kWrite,
  kCommit,
  /// Opening a connection, BEGIN, ROLLBACK, session state and status requests.
  kControl,
};

/// Statements that are assumed to take similar times.
struct work_class {
  work_kind kind = work_kind::kRead;
  /// Priority of the route; statements of different routes rarely do similar
  /// work.
  std::uint32_t priority = 1;

  auto operator<=>(const work_class&) const = default;
};

/// Measured work by class of statement.
class work_estimate {
 public:
  /// Records how long a statement has occupied a slot.
  void Record(const work_class& statement, duration took);

  /// Moving average; while it is unknown, that of all classes.
  [[nodiscard]] duration Mean(const work_class& statement) const;

  /// Time within which nearly all statements of the class end.
  [[nodiscard]] duration High(const work_class& statement) const;

 private:
  struct class_times {
    duration mean = duration::zero();
    recent_response_times distribution;
  };

  static void Average(duration& mean, duration took) noexcept;

  std::map<work_class, class_times> classes_;
  duration overall_mean_ = duration::zero();
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_WORK_ESTIMATE_H_
