#ifndef SASSAFRASWICK_GATEWAY_STORE_CALL_RECORDER_H_
#define SASSAFRASWICK_GATEWAY_STORE_CALL_RECORDER_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/entry_return.h"
#include "sassafraswick/gateway/counters.h"

/// @file
/// Counts calls to the store, logs when the store becomes unavailable and when
/// it is available again, and tells what an outage may hide.

namespace sassafraswick {

class store_call_recorder {
 public:
  explicit store_call_recorder(gateway_counters& counters)
      : counters_(counters) {}

  /// Records the outcome of a call.
  template <typename Value>
  void RecordCall(std::string_view call_name, const result<Value>& outcome) {
    ++counters_.store_calls;
    // A missing key, lease or history is the answer of an available store.
    const bool answered =
        outcome || outcome.error().kind == error_kind::kNotFound;
    entry_return_.RecordCall(answered, monotonic_clock::now());
    const bool was_down = !error_.empty();
    error_ = outcome ? std::string() : outcome.error().message;
    if (!outcome && !was_down) {
      Log(log_level::kWarning, "store_lost",
          {{"call", std::string(call_name)}, {"reason", error_}});
    } else if (outcome && was_down) {
      Log(log_level::kInfo, "store_regained",
          {{"call", std::string(call_name)}});
    }
  }

  /// Returns whether the store lists all live instances, provided that it is
  /// available now.
  [[nodiscard]] bool HaveEntriesReturned(time_point now) const noexcept {
    return entry_return_.HaveReturned(now);
  }

 private:
  gateway_counters& counters_;
  entry_return_tracker entry_return_;
  std::string error_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STORE_CALL_RECORDER_H_
