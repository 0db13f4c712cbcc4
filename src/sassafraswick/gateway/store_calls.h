#ifndef SASSAFRASWICK_GATEWAY_STORE_CALLS_H_
#define SASSAFRASWICK_GATEWAY_STORE_CALLS_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/counters.h"

/// @file
/// Counts a host's calls to the store and logs when it is lost and regained.

namespace sassafraswick {

/// Time before a failed call to the store is tried again, doubled up to the
/// limit: refused calls are priced too.
inline constexpr duration kStoreRetry = std::chrono::milliseconds(100);
inline constexpr duration kStoreRetryLimit = std::chrono::milliseconds(800);

class store_calls {
 public:
  explicit store_calls(gateway_counters& counters) : counters_(counters) {}

  /// Notes the outcome of a call.
  template <typename Value>
  void Note(std::string_view what, const result<Value>& outcome) {
    ++counters_.store_calls;
    const bool was_down = !error_.empty();
    error_ = outcome ? std::string() : outcome.error().message;
    if (!outcome && !was_down) {
      Log(log_level::kWarning, "store_lost",
          {{"call", std::string(what)}, {"reason", error_}});
    } else if (outcome && was_down) {
      Log(log_level::kInfo, "store_regained", {{"call", std::string(what)}});
    }
  }

 private:
  gateway_counters& counters_;
  std::string error_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STORE_CALLS_H_
