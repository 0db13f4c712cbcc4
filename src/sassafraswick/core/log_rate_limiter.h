#ifndef SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_
#define SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "sassafraswick/core/simple_token_bucket.h"
#include "sassafraswick/core/time.h"

/// @file
/// Rate limit for the log lines of one event.

namespace sassafraswick {

/// Sustained and burst limit for each event. With lines of 500 bytes and about
/// ten events, the log stays below 250 KB per second.
inline constexpr double kLogLinesPerSecond = 50.0;
inline constexpr double kLogBurstLines = 200.0;

/// Limits the lines of one event and counts those dropped.
class log_rate_limiter {
 public:
  /// Requests permission to write a line.
  /// @return Number of lines dropped since the last one written, or nothing if
  /// this line must be dropped.
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
  simple_token_bucket tokens_{kLogBurstLines};
  std::uint64_t dropped_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_RATE_LIMITER_H_
