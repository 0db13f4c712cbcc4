#include "sassafraswick/fleet/watch_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;

/// Timeout of a call beyond its wait.
constexpr duration kCallTimeout = milliseconds(1200);
/// Time that the store takes to respond to a call that does not wait.
constexpr duration kResponseTime = milliseconds(10);
/// Time after a disturbance of the store from which the deployments'
/// requirements count a host that misses a change.
constexpr duration kContactTime = milliseconds(4000);

/// A period in which the store processes nothing and loses the response to
/// every watch that ends or is sent.
struct outage {
  duration start;
  duration end;

  [[nodiscard]] bool Contains(duration moment) const noexcept {
    return moment >= start && moment <= end;
  }
};

/// Follows the store from a watch that is sent at zero.
/// @param changes A change ends the first watch in the outage, at its start.
/// @return When the first response after the start of the outage arrives.
duration FirstResponse(const outage& away, bool changes) {
  watch_schedule schedule;
  duration sent_at = duration::zero();
  while (true) {
    const duration wait = schedule.Wait();
    duration ends_at = sent_at + wait;
    if (changes && sent_at < away.start) {
      ends_at = std::min(ends_at, away.start);
    }
    const bool lost = away.Contains(sent_at) || away.Contains(ends_at);
    const duration done_at =
        lost ? sent_at + wait + kCallTimeout : ends_at + kResponseTime;
    if (!lost && done_at > away.start) {
      return done_at;
    }
    sent_at = done_at + schedule.RecordCall(!lost, kMaxStoreRetryDelay);
  }
}

// Hosts missed withdrawn keys and leaving instances for up to 22 s, because the
// response to a watch of 20 s was lost. Seen with: review/9.
TEST_CASE("a host hears from the store soon after an outage, whenever it comes",
          "[watch]") {
  constexpr duration kStep = milliseconds(37);
  for (const duration length :
       {milliseconds(0), milliseconds(300), milliseconds(1500),
        milliseconds(4500), milliseconds(9000), milliseconds(30000)}) {
    for (duration start = kStep; start < 2 * kWatchWait; start += kStep) {
      for (const bool changes : {false, true}) {
        const outage away{start, start + length};
        CAPTURE(length.count(), start.count(), changes);
        CHECK(FirstResponse(away, changes) < away.end + kContactTime);
      }
    }
  }
}

TEST_CASE("a watch after a failed call waits only briefly", "[watch]") {
  watch_schedule schedule;
  CHECK(schedule.Wait() == kWatchWait);
  CHECK(schedule.RecordCall(false, kMaxStoreRetryDelay) ==
        kInitialStoreRetryDelay);
  CHECK(schedule.Wait() == kProbeWatchWait);
  CHECK(schedule.RecordCall(true, kMaxStoreRetryDelay) == duration::zero());
  CHECK(schedule.Wait() == kWatchWait);
}

TEST_CASE("delays after failures double up to their limit", "[watch]") {
  watch_schedule schedule;
  duration expected = kInitialStoreRetryDelay;
  for (int i = 0; i < 8; ++i) {
    CHECK(schedule.RecordCall(false, kMaxStoreRetryDelay) == expected);
    expected = std::min(expected * 2, kMaxStoreRetryDelay);
  }
}

}  // namespace
}  // namespace sassafraswick
