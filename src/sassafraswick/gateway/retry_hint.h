#ifndef SASSAFRASWICK_GATEWAY_RETRY_HINT_H_
#define SASSAFRASWICK_GATEWAY_RETRY_HINT_H_

#include <chrono>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Text that tells a rejected caller when to come back.

namespace sassafraswick {

[[nodiscard]] inline std::string RetryHint(duration retry_after) {
  return "retry in " +
         std::to_string(
             std::chrono::ceil<std::chrono::milliseconds>(retry_after)
                 .count()) +
         " ms";
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_RETRY_HINT_H_
