#ifndef SASSAFRASWICK_CORE_SIMPLE_TOKEN_BUCKET_H_
#define SASSAFRASWICK_CORE_SIMPLE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "sassafraswick/core/time.h"

/// @file
/// Token bucket for rate limits that one process enforces by itself.

namespace sassafraswick {

/// State of a bucket. The default state acts as a full bucket if the clock's
/// value exceeds the time of a complete refill.
struct simple_token_bucket {
  double level = 0.0;
  time_point refilled_at;
};

/// Refills the bucket for the time passed and takes one token.
/// @param rate Tokens per second.
/// @param burst Capacity of the bucket.
/// @return False if no token is available.
[[nodiscard]] inline bool TryTakeToken(simple_token_bucket& tokens, double rate,
                                       double burst, time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - tokens.refilled_at).count();
  tokens.level = std::min(burst, tokens.level + rate * elapsed);
  tokens.refilled_at = now;
  if (tokens.level < 1.0) {
    return false;
  }
  tokens.level -= 1.0;
  return true;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_SIMPLE_TOKEN_BUCKET_H_
