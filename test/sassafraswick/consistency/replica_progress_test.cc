#include "sassafraswick/consistency/replica_progress.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;

time_point At(int since_start_ms) {
  return time_point(std::chrono::hours(1)) + milliseconds(since_start_ms);
}

/// View of a primary that writes an entry every 100 ms: entry 10 at 1,000 ms.
primary_view WritingPrimaryView(int until) {
  primary_view view;
  RecordPrimary(view, "a", 1);
  for (int now = 0; now <= until; now += 100) {
    const log_position entry = static_cast<log_position>(now / 100);
    RecordPosition(view, "a", {1, entry}, At(now));
  }
  return view;
}

TEST_CASE("no wait is expected for a replica that has applied the position",
          "[replica_progress]") {
  const primary_view view = WritingPrimaryView(3000);
  replica_progress progress;
  CHECK(EstimateCatchUpWait(progress, view, {1, 30}, At(3010)) ==
        duration::zero());
  RecordProgress(progress, view, {1, 20}, At(3010));
  CHECK(EstimateCatchUpWait(progress, view, {1, 20}, At(3010)) ==
        duration::zero());
  CHECK(EstimateCatchUpWait(progress, view, {1, 12}, At(3010)) ==
        duration::zero());
}

TEST_CASE("the expected wait for a lagging replica is the rest of its lag",
          "[replica_progress]") {
  const primary_view view = WritingPrimaryView(3000);
  replica_progress progress;
  // Entry 21 was written at 2,100 ms and not visible at 3,000 ms, so the lag is
  // 900 ms.
  RecordProgress(progress, view, {1, 20}, At(3000));
  CHECK(progress.lag == milliseconds(900));
  CHECK(EstimateCatchUpWait(progress, view, {1, 25}, At(3000)) ==
        milliseconds(400));
  CHECK(EstimateCatchUpWait(progress, view, {1, 25}, At(3300)) ==
        milliseconds(100));
  CHECK(EstimateCatchUpWait(progress, view, {1, 21}, At(3100)) ==
        kMinCatchUpWait);
}

TEST_CASE("the lag from an outdated response is ignored",
          "[replica_progress]") {
  const primary_view view = WritingPrimaryView(3000);
  replica_progress progress;
  RecordProgress(progress, view, {1, 20}, At(3000));
  CHECK(EstimateCatchUpWait(progress, view, {1, 30},
                            At(3000) + kMaxProgressAge) == duration::zero());
}

TEST_CASE("a replica of an older term counts as lagging",
          "[replica_progress]") {
  primary_view view = WritingPrimaryView(3000);
  RecordPrimary(view, "b", 2);
  RecordPosition(view, "b", {2, 31}, At(3200));
  replica_progress progress;
  RecordProgress(progress, view, {1, 40}, At(3210));
  CHECK(EstimateCatchUpWait(progress, view, {2, 31}, At(3210)) >
        duration::zero());
}

}  // namespace
}  // namespace sassafraswick
