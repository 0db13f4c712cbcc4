#ifndef SASSAFRASWICK_CORE_LOG_BUDGET_H_
#define SASSAFRASWICK_CORE_LOG_BUDGET_H_

#include <cstdint>
#include <optional>

#include "sassafraswick/core/pace.h"
#include "sassafraswick/core/time.h"

/// @file
/// Bounds the lines that one kind of event may write.

namespace sassafraswick {

/// Lines a second of one event, and at once after a rest. At 500 bytes a line
/// and some ten kinds of event this stays below 250 KB a second.
inline constexpr double kLogRate = 50.0;
inline constexpr double kLogBurst = 200.0;

/// Paces one event's lines and counts those left out.
class log_budget {
 public:
  /// Asks to write a line.
  /// @return Lines left out since the last one written, or nothing if this
  /// line is to be left out.
  [[nodiscard]] std::optional<std::uint64_t> TryWrite(time_point now) {
    if (!TryTake(pace_, kLogRate, kLogBurst, now)) {
      ++left_out_;
      return std::nullopt;
    }
    const std::uint64_t left_out = left_out_;
    left_out_ = 0;
    return left_out;
  }

 private:
  pace pace_{kLogBurst};
  std::uint64_t left_out_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_BUDGET_H_
