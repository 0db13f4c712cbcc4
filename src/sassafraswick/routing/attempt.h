#ifndef SASSAFRASWICK_ROUTING_ATTEMPT_H_
#define SASSAFRASWICK_ROUTING_ATTEMPT_H_

#include <algorithm>
#include <cstdint>

#include "sassafraswick/core/time.h"

/// @file
/// Handling of failed attempts of a request. A request that must not be
/// repeated runs at most once.

namespace sassafraswick {

/// Progress of an attempt.
enum class attempt_state : std::uint8_t {
  /// No part of the request was sent to a target.
  kNotSent,
  /// A target may have run the request.
  kSent,
  /// The target responded that it did not run the request.
  kRejected,
};

/// A request after a failed attempt.
struct attempt {
  attempt_state state = attempt_state::kNotSent;
  /// The caller has received part of the response.
  bool response_begun = false;
  /// The statement cannot change data, or the caller declared it idempotent.
  bool repeatable = false;
  std::uint32_t attempts_made = 1;
  time_point deadline;
};

enum class failure_action : std::uint8_t {
  kRetry,
  /// Report that the request was not run; no target can have run it.
  kReportNotRun,
  /// Report that the outcome is unknown; the request may have run.
  kReportUnknown,
  /// Close the connection to the caller. Part of the response was sent, and
  /// only this shows the caller that the response is incomplete.
  kCloseConnection,
};

/// Limits retries in proportion to requests, so that retries do not amplify an
/// overload.
class retry_budget {
 public:
  /// Counts one first attempt.
  void RecordRequest() noexcept {
    credit_ = std::min(credit_ + kCreditPerRequest, kMaxCredit);
  }

  /// Consumes one retry if the budget allows it.
  [[nodiscard]] bool TryTake() noexcept {
    if (credit_ < kCreditPerRetry) {
      return false;
    }
    credit_ -= kCreditPerRetry;
    return true;
  }

 private:
  static constexpr std::uint32_t kCreditPerRequest = 1;
  static constexpr std::uint32_t kCreditPerRetry = 5;
  static constexpr std::uint32_t kMaxCredit = 500;

  std::uint32_t credit_ = kMaxCredit;
};

/// Maximum number of attempts of one request.
inline constexpr std::uint32_t kMaxAttempts = 10;

/// Decides how to proceed after a failed attempt.
/// @param budget Charged unless the request was not sent: repeating an unsent
/// request adds no load to the targets.
/// @param now Time of the failure.
[[nodiscard]] inline failure_action DecideAfterFailure(
    const attempt& failed, retry_budget& budget, time_point now) noexcept {
  const bool may_run_again = failed.state != attempt_state::kSent ||
                             (failed.repeatable && !failed.response_begun);
  const bool in_time =
      now < failed.deadline && failed.attempts_made < kMaxAttempts;
  if (failed.response_begun) {
    return failure_action::kCloseConnection;
  }
  if (may_run_again && in_time) {
    const bool unsent = failed.state == attempt_state::kNotSent;
    if (unsent || budget.TryTake()) {
      return failure_action::kRetry;
    }
  }
  return failed.state == attempt_state::kSent ? failure_action::kReportUnknown
                                              : failure_action::kReportNotRun;
}

/// Returns the delay before the next attempt: exponential backoff with full
/// jitter.
/// @param random Uniformly distributed random number.
[[nodiscard]] inline duration RetryDelay(std::uint32_t attempts_made,
                                         std::uint64_t random) noexcept {
  constexpr duration kInitialCeiling = std::chrono::milliseconds(5);
  constexpr duration kMaxCeiling = std::chrono::milliseconds(200);
  constexpr std::uint32_t kMaxDoublings = 6;
  const std::uint32_t doublings = std::min(attempts_made, kMaxDoublings);
  const duration ceiling =
      std::min(kMaxCeiling, kInitialCeiling * (1U << doublings));
  return duration(random % (static_cast<std::uint64_t>(ceiling.count()) + 1));
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_ATTEMPT_H_
