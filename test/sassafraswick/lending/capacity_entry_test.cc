#include "sassafraswick/lending/capacity_entry.h"

#include <catch2/catch.hpp>
#include <string>

namespace sassafraswick {
namespace {

TEST_CASE("a capacity survives formatting and parsing", "[capacity]") {
  const host_capacity capacity{0.084, "leon-a"};
  const std::string text = FormatCapacityEntry(capacity);
  CHECK(text == "cores=0.084 zone=leon-a");
  CHECK(ParseCapacityEntry(text).value() == capacity);
}

TEST_CASE("fields of later builds are ignored", "[capacity]") {
  const result<host_capacity> parsed =
      ParseCapacityEntry("slots=9  zone=leon-a flag cores=0.5 =");
  REQUIRE(parsed);
  CHECK(parsed.value() == host_capacity{0.5, "leon-a"});
}

TEST_CASE("odd entries are refused", "[capacity][malformed]") {
  const std::string text = GENERATE(
      as<std::string>(), "", " ", "127.0.0.1:7", "cores=1", "zone=a",
      "cores=1 zone=", "cores= zone=a", "cores=1x zone=a", "cores=0 zone=a",
      "cores=-1 zone=a", "cores=nan zone=a", "cores=inf zone=a",
      "cores=1e9 zone=a", "cores=1e999 zone=a", std::string("\0\xff", 2));
  CHECK_FALSE(ParseCapacityEntry(text));
}

}  // namespace
}  // namespace sassafraswick
