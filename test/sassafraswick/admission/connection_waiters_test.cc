#include "sassafraswick/admission/connection_waiters.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("waiters are served by urgency, then by the time left",
          "[admission]") {
  connection_waiters waiters;
  const time_point now;
  const connection_waiter patient = waiters.Add(2, now + milliseconds(50));
  const connection_waiter late = waiters.Add(1, now + milliseconds(200));
  const connection_waiter early = waiters.Add(1, now + milliseconds(100));
  CHECK(waiters.IsFirst(early));
  CHECK(waiters.After(early) == late);
  CHECK(waiters.After(late) == patient);
  CHECK_FALSE(waiters.After(patient).has_value());
  CHECK(waiters.WouldBeFirst(0, now + milliseconds(900)));
  CHECK_FALSE(waiters.WouldBeFirst(1, now + milliseconds(100)));
  waiters.Remove(early);
  CHECK(waiters.IsFirst(late));
}

TEST_CASE("too many operations for a host's two connections", "[admission]") {
  connection_waiters waiters;
  const time_point now;
  for (int i = 0; i < 10; ++i) {
    waiters.RecordUse(milliseconds(40));
  }
  connection_waiter last;
  int in_time = 0;
  for (int i = 0; i < 10; ++i) {
    last = waiters.Add(1, now + milliseconds(100));
    in_time += waiters.ExpectedWait(last, 2) <= milliseconds(100) ? 1 : 0;
  }
  CHECK(in_time == 5);
  const connection_waiter urgent = waiters.Add(0, now + milliseconds(50));
  CHECK(waiters.ExpectedWait(urgent, 2) == milliseconds(20));
  CHECK(waiters.ExpectedWait(last, 2) == milliseconds(220));
}

TEST_CASE("without a connection in use nothing is known of a wait",
          "[admission]") {
  connection_waiters waiters;
  waiters.RecordUse(milliseconds(40));
  const connection_waiter waiter = waiters.Add(1, time_point());
  CHECK(waiters.ExpectedWait(waiter, 0) == duration::zero());
}

}  // namespace
}  // namespace sassafraswick
