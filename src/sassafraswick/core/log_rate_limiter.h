#ifndef SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_
#define SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "sassafraswick/core/local_token_bucket.h"
#include "sassafraswick/core/time.h"

/// @file
/// Bounds the lines that one kind of event may write.

namespace sassafraswick {

/// Lines a second of one event, and at once after a rest. At 500 bytes a line
/// and some ten kinds of event this stays below 250 KB a second.
inline constexpr double kLogLinesPerSecond = 50.0;
inline constexpr double kLogBurstLines = 200.0;

/// Paces one event's lines and counts those left out.
class log_rate_limiter {
 public:
  /// Asks to write a line.
  /// @return Lines left out since the last one written, or nothing if this
  /// line is to be left out.
  [[nodiscard]] std::optional<std::uint64_t> TryWrite(time_point now) {
    if (!TryTakeToken(tokens_, kLogLinesPerSecond, kLogBurstLines, now)) {
      ++dropped_;
      return std::nullopt;
    }
    const std::uint64_t dropped = dropped_;
    dropped_ = 0;
    return dropped;
  }

 private:
  local_token_bucket tokens_{kLogBurstLines};
  std::uint64_t dropped_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_
