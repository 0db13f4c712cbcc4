#include "sassafraswick/fleet/store_era.h"

#include <catch2/catch.hpp>

#include "sassafraswick/fleet/store_change_log.h"
#include "sassafraswick/fleet/zone_evacuation.h"

/// @file
/// Load pattern: a store that was restored from an older copy, so that
/// revisions go back and are given out again.

namespace sassafraswick {
namespace {

constexpr duration kTtl = std::chrono::seconds(3);

time_point At(int seconds) {
  return time_point(std::chrono::hours(1)) + std::chrono::seconds(seconds);
}

store_item Change(const std::string& key, const store_revision& revision) {
  store_item item;
  item.key = key;
  item.revision = revision;
  return item;
}

TEST_CASE("a revision of a later era is newer", "[store_era]") {
  CHECK(store_revision{1, 500} < store_revision{2, 450});
  CHECK(store_revision{2, 450} < store_revision{2, 451});
  CHECK(ToFencingToken({1, 500}) < ToFencingToken({2, 3}));
  CHECK(ToFencingToken({2, 3}) < ToFencingToken({2, 4}));
  CHECK(ToFencingToken({0, 7}) == 7);
}

TEST_CASE("only a change of the era counts as new", "[store_era]") {
  store_era_tracker eras(true);
  CHECK_FALSE(eras.Observe(4, At(0)));
  CHECK_FALSE(eras.Observe(4, At(1)));
  CHECK(eras.Observe(5, At(2)));
  CHECK_FALSE(eras.Observe(4, At(3)));
  CHECK(eras.Current() == 5);
}

// A holder that cannot reach the store may act until its own clock ends its
// lease, and the copy may lack its record.
TEST_CASE("nothing is claimed while leases of an earlier era may be in use",
          "[store_era]") {
  store_era_tracker eras(false);
  CHECK_FALSE(eras.HaveEarlierLeasesEnded(kTtl, At(0)));
  eras.Observe(1, At(0));
  CHECK_FALSE(eras.HaveEarlierLeasesEnded(kTtl, At(2)));
  CHECK(eras.HaveEarlierLeasesEnded(kTtl, At(3)));
  eras.Observe(2, At(10));
  CHECK_FALSE(eras.HaveEarlierLeasesEnded(kTtl, At(12)));
  CHECK(eras.HaveEarlierLeasesEnded(kTtl, At(13)));
}

TEST_CASE("a fleet's first start waits only after a change of the era",
          "[store_era]") {
  store_era_tracker eras(true);
  eras.Observe(1, At(0));
  CHECK(eras.HaveEarlierLeasesEnded(kTtl, At(0)));
  eras.Observe(2, At(1));
  CHECK_FALSE(eras.HaveEarlierLeasesEnded(kTtl, At(2)));
}

TEST_CASE("changes may be lost only by a return from a copy", "[store_era]") {
  store_era_tracker eras(false);
  eras.Observe(1, At(0));
  CHECK_FALSE(eras.MayHaveLostChanges(kTtl, At(1)));
  eras.Observe(2, At(10));
  CHECK(eras.MayHaveLostChanges(kTtl, At(12)));
  CHECK_FALSE(eras.MayHaveLostChanges(kTtl, At(13)));
}

TEST_CASE("registrations in a new era are spread over the fleet",
          "[store_era]") {
  CHECK(ReregistrationSpread(7) < std::chrono::milliseconds(100));
  CHECK(ReregistrationSpread(300) == std::chrono::seconds(3));
  CHECK(ReregistrationSpread(5000) == std::chrono::seconds(10));
}

TEST_CASE("a relay host's log does not mix two eras", "[store_era]") {
  store_change_log log;
  log.Reset({1, 400});
  log.Add(Change("a", {1, 500}));
  log.Reset({2, 450});
  CHECK_FALSE(log.ChangesSince({1, 500}).has_value());
  log.Add(Change("a", {2, 460}));
  REQUIRE(log.ChangesSince({2, 450})->size() == 1);
  CHECK(log.ChangesSince({2, 450})->front().revision == store_revision{2, 460});
}

TEST_CASE("an evacuation that a copy lacks holds until it is marked again",
          "[store_era][zone_evacuation]") {
  evacuated_zones zones;
  zones.Load({}, 1, At(0));
  zones.Mark("leon-a", At(1));
  zones.Load({}, 2, At(10));
  CHECK(zones.Since("leon-a") == At(1));
  SECTION("and lapses if it is not") {
    zones.DropLostMarks(At(14));
    CHECK(zones.Since("leon-a").has_value());
    zones.DropLostMarks(At(15));
    CHECK_FALSE(zones.Since("leon-a").has_value());
  }
  SECTION("also over two returns") {
    zones.Load({}, 3, At(12));
    CHECK(zones.Since("leon-a").has_value());
  }
  SECTION("and stays if it is") {
    zones.Mark("leon-a", At(11));
    zones.DropLostMarks(At(20));
    CHECK(zones.Since("leon-a") == At(1));
  }
  SECTION("and ends when the operator removes it") {
    zones.Unmark("leon-a");
    CHECK(zones.Names().empty());
  }
}

TEST_CASE("a complete read of the same era replaces all marks",
          "[zone_evacuation]") {
  evacuated_zones zones;
  zones.Load({"leon-a", "leon-b"}, 1, At(0));
  zones.Load({"leon-b"}, 1, At(5));
  CHECK_FALSE(zones.Since("leon-a").has_value());
  CHECK(zones.Since("leon-b") == At(0));
}

}  // namespace
}  // namespace sassafraswick
