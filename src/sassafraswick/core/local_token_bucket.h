#ifndef SASSAFRASWICK_CORE_LOCAL_TOKEN_BUCKET_H_
#define SASSAFRASWICK_CORE_LOCAL_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "sassafraswick/core/time.h"

/// @file
/// Token bucket of one process, for what is paced without asking anybody.

namespace sassafraswick {

/// Tokens at hand. Full after a rest, so also at first if `level` is left zero
/// and the clock has run for longer than a refill takes.
struct local_token_bucket {
  double level = 0.0;
  time_point refilled_at;
};

/// Makes the tokens that fell due and takes one.
/// @param rate Tokens a second.
/// @param burst Most tokens at hand.
/// @return False if there is none.
[[nodiscard]] inline bool TryTakeToken(local_token_bucket& tokens, double rate,
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

#endif  // SASSAFRASWICK_CORE_LOCAL_TOKEN_BUCKET_H_
