#ifndef SASSAFRASWICK_ADMISSION_WORK_RATE_H_
#define SASSAFRASWICK_ADMISSION_WORK_RATE_H_

#include <chrono>
#include <cmath>

#include "sassafraswick/core/time.h"

/// @file
/// Moving average of the work that is started at an instance.

namespace sassafraswick {

/// Exponentially weighted rate of work.
class work_rate {
 public:
  void Add(duration work, time_point now) {
    occupied_slots_ = Slots(now) + std::chrono::duration<double>(work) /
                                       std::chrono::duration<double>(kWindow);
    updated_at_ = now;
  }

  /// Number of slots that the work occupies on average.
  [[nodiscard]] double Slots(time_point now) const {
    if (now <= updated_at_) {
      return occupied_slots_;
    }
    return occupied_slots_ *
           std::exp(-std::chrono::duration<double>(now - updated_at_) /
                    std::chrono::duration<double>(kWindow));
  }

 private:
  static constexpr duration kWindow = std::chrono::milliseconds(500);

  double occupied_slots_ = 0.0;
  time_point updated_at_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_WORK_RATE_H_
