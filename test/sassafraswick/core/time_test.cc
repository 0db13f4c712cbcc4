#include "sassafraswick/core/time.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("durations are parsed from an integer with a unit", "[time]") {
  CHECK(ParseDuration("250ms").value() == std::chrono::milliseconds(250));
  CHECK(ParseDuration("2min").value() == std::chrono::minutes(2));
  for (const char* const bad :
       {"", "5", "ms", "-1s", "1.5s", "1 s", "99999999999999999h"}) {
    INFO(bad);
    CHECK_FALSE(ParseDuration(bad));
  }
}

TEST_CASE("durations are formatted with the largest exact unit", "[time]") {
  CHECK(FormatDuration(std::chrono::milliseconds(1500)) == "1500ms");
  CHECK(FormatDuration(std::chrono::seconds(5)) == "5s");
  CHECK(FormatDuration(duration::zero()) == "0us");
}

}  // namespace
}  // namespace sassafraswick
