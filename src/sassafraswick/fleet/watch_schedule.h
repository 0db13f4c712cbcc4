#ifndef SASSAFRASWICK_FLEET_WATCH_SCHEDULE_H_
#define SASSAFRASWICK_FLEET_WATCH_SCHEDULE_H_

#include "sassafraswick/core/time.h"

/// @file
/// Waits of the watch calls to the store. A call whose response is lost looks
/// like one that waits for a change, so its wait bounds how long a host misses
/// changes.

namespace sassafraswick {

/// Longest wait of one watch call. Together with the timeout of a call it stays
/// below the 4 s after a disturbance of the store from which the deployments'
/// requirements count a host that misses a change.
inline constexpr duration kWatchWait = std::chrono::milliseconds(2000);
/// Wait of a watch call after a failed one. The store may be away, and a call
/// that is sent then is noticed as lost only after its wait.
inline constexpr duration kProbeWatchWait = std::chrono::milliseconds(200);

/// Delay before a failed call to the store is retried. It doubles up to
/// `kMaxStoreRetryDelay`, because rejected calls are billed as well.
inline constexpr duration kInitialStoreRetryDelay =
    std::chrono::milliseconds(100);
inline constexpr duration kMaxStoreRetryDelay = std::chrono::milliseconds(800);

/// Returns the delay after the next failure.
/// @param delay Delay after this failure.
[[nodiscard]] duration NextRetryDelay(duration delay, duration max) noexcept;

/// Timing of a host's successive calls, of which one is in flight at a time.
class watch_schedule {
 public:
  /// Returns the wait of the next watch call.
  [[nodiscard]] duration Wait() const noexcept {
    return failing_ ? kProbeWatchWait : kWatchWait;
  }

  /// Returns whether the last call failed.
  [[nodiscard]] bool IsFailing() const noexcept { return failing_; }

  /// Records the outcome of a call.
  /// @param max_retry_delay Limit of the delay after a failed call.
  /// @return Delay before the next call.
  [[nodiscard]] duration RecordCall(bool answered,
                                    duration max_retry_delay) noexcept;

 private:
  bool failing_ = false;
  duration retry_delay_ = kInitialStoreRetryDelay;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_WATCH_SCHEDULE_H_
