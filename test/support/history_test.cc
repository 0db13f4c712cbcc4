#include "test/support/history.h"

#include <catch2/catch.hpp>

#include "test/sassafraswick/failover/group_builder.h"

namespace test_support {
namespace {

using sassafraswick::At;

write_record Write(std::uint64_t value, int start, int end,
                   outcome result = outcome::kAcknowledged,
                   std::uint64_t term = 1) {
  return {0, value, value, result, term, At(start), At(end), 0};
}

/// Two acknowledged writes whose rows and values are all present.
history ConsistentHistory() {
  history consistent;
  consistent.rows_per_write = 2;
  consistent.writes = {Write(1, 0, 10), Write(2, 20, 30)};
  consistent.final_rows = {{1, 2}, {2, 2}};
  consistent.final_values = {{0, 2}};
  return consistent;
}

TEST_CASE("a consistent history has no violations", "[history]") {
  history consistent = ConsistentHistory();
  consistent.reads = {{0, 1, read_kind::kToken, 1, {}, At(15), At(16)},
                      {0, 2, read_kind::kStrong, 0, {}, At(31), At(32)}};
  CHECK(CheckHistory(consistent).Total() == 0);
}

TEST_CASE("each kind of violation is counted", "[history]") {
  SECTION("stale read with token") {
    history faulty = ConsistentHistory();
    faulty.reads = {{0, 1, read_kind::kToken, 2, {}, At(31), At(32)}};
    CHECK(CheckHistory(faulty).stale_reads == 1);
  }
  SECTION("stale read without token") {
    history faulty = ConsistentHistory();
    faulty.reads = {{0, 1, read_kind::kStrong, 0, {}, At(31), At(32)}};
    CHECK(CheckHistory(faulty).stale_reads == 1);
  }
  SECTION("read older than its staleness bound") {
    history faulty = ConsistentHistory();
    const std::chrono::milliseconds age(50);
    faulty.reads = {{0, 1, read_kind::kStale, 0, age, At(81), At(82)},
                    {0, 1, read_kind::kStale, 0, age, At(79), At(80)}};
    CHECK(CheckHistory(faulty).stale_reads == 1);
  }
  SECTION("lost row") {
    history faulty = ConsistentHistory();
    faulty.final_rows.erase(2);
    CHECK(CheckHistory(faulty).lost_writes == 1);
  }
  SECTION("lost value") {
    history faulty = ConsistentHistory();
    faulty.final_values[0] = 1;
    CHECK(CheckHistory(faulty).lost_writes == 1);
  }
  SECTION("duplicated write") {
    history faulty = ConsistentHistory();
    faulty.final_rows[2] = 4;
    CHECK(CheckHistory(faulty).duplicated_writes == 1);
  }
  SECTION("partially applied transaction") {
    history faulty = ConsistentHistory();
    faulty.final_rows[2] = 1;
    CHECK(CheckHistory(faulty).partial_transactions == 1);
  }
  SECTION("write executed although reported as not run") {
    history faulty = ConsistentHistory();
    faulty.writes[1].result = outcome::kNotRun;
    CHECK(CheckHistory(faulty).executed_despite_not_run == 1);
  }
  SECTION("acknowledged by a replaced primary") {
    history faulty = ConsistentHistory();
    faulty.writes = {Write(1, 0, 10, outcome::kAcknowledged, 2),
                     Write(2, 20, 30, outcome::kAcknowledged, 1)};
    CHECK(CheckHistory(faulty).replaced_primary_acks == 1);
    faulty.writes[1].group = 1;
    CHECK(CheckHistory(faulty).replaced_primary_acks == 0);
  }
}

}  // namespace
}  // namespace test_support
