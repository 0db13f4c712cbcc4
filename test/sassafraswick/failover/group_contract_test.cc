#include "sassafraswick/failover/group_contract.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("all fields of a status result are parsed", "[contract]") {
  const result<instance_report> report = ParseReport(
      "term=3 role=primary log_term=2 received=12 applied=11 lag_us=1500 "
      "primary_silence_us=7 history=1:0,2:5");
  REQUIRE(report);
  CHECK(report.value().term == 3);
  CHECK(report.value().role == instance_role::kPrimary);
  CHECK(report.value().log_end == log_point{2, 12});
  CHECK(report.value().lag == std::chrono::microseconds(1500));
  CHECK(report.value().history == term_history{{1, 0}, {2, 5}});
}

TEST_CASE("an error about a missing field names the field", "[contract]") {
  const result<instance_report> report = ParseReport("term=3 role=primary");
  REQUIRE_FALSE(report);
  CHECK(report.error().message.find("log_term") != std::string::npos);
  CHECK_FALSE(ParseReport(""));
  CHECK_FALSE(ParseControlResponse("term=3"));
  CHECK_FALSE(ParsePosition("3"));
  CHECK_FALSE(ParsePosition("3/x"));
}

}  // namespace
}  // namespace sassafraswick
