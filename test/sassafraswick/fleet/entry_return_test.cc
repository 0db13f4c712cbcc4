#include "sassafraswick/fleet/entry_return.h"

#include <catch2/catch.hpp>

/// @file
/// Load pattern: all hosts are killed during an outage of the store, and start
/// before the instances have registered again.

namespace sassafraswick {
namespace {

time_point At(std::int64_t milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

// A host that had seen only 503 for longer than the wait took the entries of
// right after the outage for all. Seen with: review/3.
TEST_CASE("failed calls do not count towards the return of entries",
          "[entry_return]") {
  entry_return_tracker tracker;
  for (std::int64_t at = 0; at < 4000; at += 100) {
    tracker.RecordCall(false, At(at));
  }
  CHECK_FALSE(tracker.HaveReturned(At(4000)));
  tracker.RecordCall(true, At(4000));
  CHECK_FALSE(tracker.HaveReturned(At(4000)));
  CHECK_FALSE(tracker.HaveReturned(At(6499)));
  CHECK(tracker.HaveReturned(At(6500)));
}

TEST_CASE("a second outage starts the wait again", "[entry_return]") {
  entry_return_tracker tracker;
  tracker.RecordCall(true, At(0));
  tracker.RecordCall(false, At(2400));
  CHECK_FALSE(tracker.HaveReturned(At(2600)));
  tracker.RecordCall(true, At(3000));
  CHECK_FALSE(tracker.HaveReturned(At(5400)));
  CHECK(tracker.HaveReturned(At(5500)));
}

TEST_CASE("an outage after the return of all entries hides none",
          "[entry_return]") {
  entry_return_tracker tracker;
  tracker.RecordCall(true, At(0));
  tracker.RecordCall(true, At(2500));
  tracker.RecordCall(false, At(2600));
  CHECK(tracker.HaveReturned(At(2700)));
}

TEST_CASE("nothing has returned before the first call", "[entry_return]") {
  CHECK_FALSE(entry_return_tracker().HaveReturned(At(10'000)));
}

}  // namespace
}  // namespace sassafraswick
