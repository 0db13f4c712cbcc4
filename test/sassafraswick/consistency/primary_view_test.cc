#include "sassafraswick/consistency/primary_view.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

/// `a` is primary of term 1, with a proof and a position requested at 0 ms.
primary_view ProvedView() {
  primary_view view;
  CHECK(RecordPrimary(view, "a", 1));
  RecordProof(view, 1, At(0));
  RecordPosition(view, "a", {1, 10}, At(0));
  return view;
}

TEST_CASE("a primary lease expires its duration after the proof was requested",
          "[primary_view]") {
  const primary_view view = ProvedView();
  CHECK(IsPrimaryLeaseValid(view, "a", 1, At(499)));
  CHECK_FALSE(IsPrimaryLeaseValid(view, "a", 1, At(500)));
}

// A read waited for a connection to the old primary while the host learned of
// the new one. Its response was then accepted under the new primary's lease.
// Seen in a fault search on mdb-pedidos scale-2.
TEST_CASE("a new primary's lease does not cover responses of the old primary",
          "[primary_view]") {
  primary_view view = ProvedView();
  CHECK(RecordPrimary(view, "b", 2));
  RecordProof(view, 2, At(100));
  CHECK(IsPrimaryLeaseValid(view, "b", 2, At(200)));
  CHECK_FALSE(IsPrimaryLeaseValid(view, "a", 1, At(200)));
  CHECK_FALSE(IsPrimaryLeaseValid(view, "a", 2, At(200)));
  CHECK_FALSE(IsPrimaryLeaseValid(view, "b", 1, At(200)));
}

TEST_CASE("a proof of an old term does not extend the lease of a new one",
          "[primary_view]") {
  primary_view view = ProvedView();
  CHECK(RecordPrimary(view, "b", 2));
  RecordProof(view, 1, At(100));
  CHECK_FALSE(IsPrimaryLeaseValid(view, "b", 2, At(101)));
}

TEST_CASE("a position covers writes acknowledged before it was requested",
          "[primary_view]") {
  const primary_view view = ProvedView();
  CHECK(CoveringPosition(view, At(0)) == log_point{1, 10});
  CHECK_FALSE(CoveringPosition(view, At(1)).has_value());
}

TEST_CASE(
    "positions cover no writes acknowledged after the primary lease expired",
    "[primary_view]") {
  primary_view view = ProvedView();
  RecordPosition(view, "a", {1, 12}, At(900));
  CHECK(CoveringPosition(view, At(500)) == log_point{1, 12});
  CHECK_FALSE(CoveringPosition(view, At(501)).has_value());
}

// Requiring the newest position excluded replicas that were 1.4 s behind from
// routes that accept a staleness of 1.5 s. Seen on mdb-pedidos trouble-1.
TEST_CASE("a read requires the lowest position that satisfies its staleness",
          "[primary_view]") {
  primary_view view = ProvedView();
  RecordPosition(view, "a", {1, 15}, At(200));
  RecordPosition(view, "a", {1, 18}, At(220));
  RecordPosition(view, "a", {1, 20}, At(400));
  CHECK(CoveringPosition(view, At(-100)) == log_point{1, 10});
  CHECK(CoveringPosition(view, At(0)) == log_point{1, 10});
  CHECK(CoveringPosition(view, At(1)) == log_point{1, 15});
  CHECK(CoveringPosition(view, At(201)) == log_point{1, 20});
}

TEST_CASE("the required position covers the session's own write",
          "[primary_view]") {
  primary_view view = ProvedView();
  const session_position own{{1, 30}, At(50)};
  CHECK(RequiredPosition(view, At(0), own) == log_point{1, 30});
  CHECK(RequiredPosition(view, At(0), session_position{{1, 5}, At(-50)}) ==
        log_point{1, 10});
  CHECK(RequiredPosition(view, At(0), std::nullopt) == log_point{1, 10});
  CHECK_FALSE(RequiredPosition(view, At(1), own).has_value());
}

// For a session whose last write was in an earlier term, any position requested
// since that write was accepted, even one older than the route's staleness
// bound. Found as STALE by mdb-pedidos scale-2 --seed 747227334264.
TEST_CASE(
    "a session's write in an earlier term does not relax the staleness bound",
    "[primary_view]") {
  primary_view view;
  CHECK(RecordPrimary(view, "b", 2));
  RecordProof(view, 2, At(900));
  RecordPosition(view, "b", {2, 50}, At(100));
  RecordPosition(view, "b", {2, 60}, At(500));
  RecordPosition(view, "b", {2, 70}, At(900));
  const session_position old_write{{1, 40}, At(50)};
  CHECK(RequiredPosition(view, At(450), old_write) == log_point{2, 60});
  const session_position late_write{{1, 40}, At(600)};
  CHECK(RequiredPosition(view, At(450), late_write) == log_point{2, 70});
}

TEST_CASE("a view report from another host extends neither lease nor position",
          "[primary_view]") {
  primary_view reporting = ProvedView();
  RecordProof(reporting, 1, At(300));
  RecordPosition(reporting, "a", {1, 15}, At(350));
  const std::optional<view_report> report = MakeViewReport(reporting, At(400));
  REQUIRE(report.has_value());
  // The receiving host's clock differs. At(9000) is when it sent the request.
  primary_view receiving;
  CHECK(ApplyViewReport(receiving, *report, At(9000)));
  CHECK(IsPrimaryLeaseValid(receiving, "a", 1, At(9399)));
  CHECK_FALSE(IsPrimaryLeaseValid(receiving, "a", 1, At(9400)));
  CHECK(CoveringPosition(receiving, At(8950)) == log_point{1, 15});
  CHECK_FALSE(CoveringPosition(receiving, At(8951)).has_value());
  CHECK_FALSE(MakeViewReport(reporting, At(800)).has_value());
}

TEST_CASE("a view report of an old term is ignored", "[primary_view]") {
  primary_view view;
  CHECK(RecordPrimary(view, "b", 2));
  view_report report;
  report.term = 1;
  report.primary = "a";
  CHECK_FALSE(ApplyViewReport(view, report, At(100)));
  CHECK(view.primary == "b");
  CHECK_FALSE(IsPrimaryLeaseValid(view, "b", 2, At(100)));
}

TEST_CASE("positions older than the retention are dropped", "[primary_view]") {
  primary_view view = ProvedView();
  for (int i = 1; i < 400; ++i) {
    RecordPosition(view, "a", {1, 10 + static_cast<log_position>(i)},
                   At(i * 50));
  }
  CHECK(view.positions.size() < 130);
  CHECK(view.positions.back().position == log_point{1, 409});
}

TEST_CASE("positions reported by replicas are ignored", "[primary_view]") {
  primary_view view = ProvedView();
  RecordPosition(view, "b", {1, 20}, At(100));
  CHECK(CoveringPosition(view, At(0)) == log_point{1, 10});
}

TEST_CASE("a response of a higher term clears the view", "[primary_view]") {
  primary_view view = ProvedView();
  CHECK(RecordNotPrimary(view, "c", 2));
  CHECK(view.primary.empty());
  CHECK_FALSE(CoveringPosition(view, At(0)).has_value());
  CHECK_FALSE(RecordPrimary(view, "a", 1));
}

// Guards against: entries that no replica had received yet counted as
// acknowledged, as the position in a response to a commit includes them.
TEST_CASE("a commit follows what its primary had before it was sent",
          "[primary_view][acknowledged]") {
  CHECK(LowestCommitPosition(log_point{3, 41}, 3) == log_point{3, 42});
  CHECK_FALSE(LowestCommitPosition(std::nullopt, 3).has_value());
  CHECK_FALSE(LowestCommitPosition(log_point{2, 41}, 3).has_value());
}

}  // namespace
}  // namespace sassafraswick
