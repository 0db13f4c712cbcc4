#include "sassafraswick/fleet/address_owners.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

target_record Entry(const std::string& id, std::uint16_t port,
                    std::int64_t start_id) {
  target_record record;
  record.id = id;
  record.address.port = port;
  record.start_id = start_id;
  return record;
}

TEST_CASE("a process that starts at an address ends the earlier one there",
          "[address_owners]") {
  constexpr std::uint16_t kPort = 8080;
  constexpr std::uint16_t kOtherPort = 8081;
  address_owners owners;
  CHECK_FALSE(owners.Record(Entry("a", kPort, 10)).has_value());
  CHECK_FALSE(owners.Record(Entry("a", kPort, 10)).has_value());
  CHECK_FALSE(owners.Record(Entry("b", kOtherPort, 20)).has_value());
  CHECK(owners.Record(Entry("c", kPort, 30)) == "a");
  CHECK_FALSE(owners.Record(Entry("c", kPort, 30)).has_value());

  SECTION("an entry of the earlier process ends nothing") {
    CHECK_FALSE(owners.Record(Entry("a", kPort, 10)).has_value());
  }
  SECTION("an entry without a start ends nothing") {
    CHECK_FALSE(owners.Record(Entry("d", kOtherPort, 0)).has_value());
  }
  SECTION("a target that has left ends with its own entry") {
    owners.Remove("b");
    CHECK_FALSE(owners.Record(Entry("d", kOtherPort, 30)).has_value());
  }
  SECTION("a target that moved does not own its earlier address") {
    CHECK_FALSE(owners.Record(Entry("c", 1, 30)).has_value());
    CHECK_FALSE(owners.Record(Entry("d", kPort, 40)).has_value());
  }
}

}  // namespace
}  // namespace sassafraswick
