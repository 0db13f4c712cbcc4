#ifndef SASSAFRASWICK_ADMISSION_ARRIVAL_FORECAST_H_
#define SASSAFRASWICK_ADMISSION_ARRIVAL_FORECAST_H_

#include <cstdint>
#include <map>
#include <vector>

#include "sassafraswick/admission/start_sequence.h"

/// @file
/// Statements that are expected to arrive and to start before one that waits.

namespace sassafraswick {

/// Extends the forecast wait of a statement by the work that is expected to
/// arrive meanwhile and to go first: that of more urgent priorities and, within
/// its own, that of organisations which have had less work done.
class arrival_forecast {
 public:
  /// @param slots Statements that the instance runs concurrently.
  arrival_forecast(const priority_shares& shares, std::uint32_t slots,
                   time_point now);

  /// @param wait Time until all statements ahead have started.
  [[nodiscard]] duration Extend(duration wait, const next_start& next,
                                const admission_request& request) const;

 private:
  struct expected_load {
    /// Slots taken by more urgent statements.
    double urgent_slots = 0.0;
    /// Slots taken by each organisation.
    std::map<std::string, double, std::less<>> by_organisation;
  };

  double slots_;
  std::map<std::uint32_t, expected_load> loads_;
  /// Slots taken by all priorities.
  double total_slots_ = 0.0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_ARRIVAL_FORECAST_H_
