#include "sassafraswick/routing/attempt.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

failure_action Decide(attempt_state state, bool repeatable, bool response_begun,
                      int now = 0) {
  retry_budget budget;
  attempt failed;
  failed.state = state;
  failed.repeatable = repeatable;
  failed.response_begun = response_begun;
  failed.deadline = At(100);
  return DecideAfterFailure(failed, budget, At(now));
}

TEST_CASE("a sent write is neither repeated nor reported as not run",
          "[attempt]") {
  CHECK(Decide(attempt_state::kSent, false, false) ==
        failure_action::kReportUnknown);
  CHECK(Decide(attempt_state::kSent, false, false, 200) ==
        failure_action::kReportUnknown);
  CHECK(Decide(attempt_state::kSent, true, false, 200) ==
        failure_action::kReportUnknown);
}

TEST_CASE("a request that no target ran is retried until its deadline",
          "[attempt]") {
  CHECK(Decide(attempt_state::kNotSent, false, false) ==
        failure_action::kRetry);
  CHECK(Decide(attempt_state::kRejected, false, false) ==
        failure_action::kRetry);
  CHECK(Decide(attempt_state::kNotSent, false, false, 100) ==
        failure_action::kReportNotRun);
}

TEST_CASE("a partial response ends with a closed connection", "[attempt]") {
  CHECK(Decide(attempt_state::kSent, true, true) ==
        failure_action::kCloseConnection);
}

TEST_CASE("retries of sent requests are limited by the number of requests",
          "[attempt]") {
  retry_budget budget;
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  CHECK(taken == 100);
  for (int i = 0; i < 50; ++i) {
    budget.RecordRequest();
  }
  for (int i = 0; i < 10; ++i) {
    CHECK(budget.TryTake());
  }
  CHECK_FALSE(budget.TryTake());
}

TEST_CASE("the delay before a retry grows up to a maximum", "[attempt]") {
  CHECK(RetryDelay(1, 0) == duration::zero());
  CHECK(RetryDelay(1, 10'000) <= std::chrono::milliseconds(10));
  for (std::uint64_t random = 0; random < 1'000'000; random += 999) {
    CHECK(RetryDelay(50, random) <= std::chrono::milliseconds(200));
  }
}

}  // namespace
}  // namespace sassafraswick
