#include "sassafraswick/config/tables.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

constexpr const char* kTables =
    "[pool orders]\n"
    "targets = 10.0.0.1:5432/az1 10.0.0.2:5432/az2 10.0.0.3:5432/az3\n"
    "leaving = 10.0.0.2:5432\n"
    "user = pool\n"
    "connections = 20\n"
    "slots = 3\n"
    "[route framing]\n"
    "pool = orders\n"
    "max_staleness = 2s\n"
    "priority = 0\n"
    "organisations = gallery\n"
    "[organisation gallery]\n"
    "rate = 50\n"
    "burst = 100\n";

std::string ErrorOf(const std::string& text) {
  const result<table_set> parsed = ParseTables(text, "tables.ini");
  return parsed ? "" : parsed.error().message;
}

TEST_CASE("all table sections are parsed", "[tables]") {
  const result<table_set> parsed = ParseTables(kTables, "tables.ini");
  REQUIRE(parsed);
  const pool& orders = parsed.value().pools.at("orders");
  CHECK(orders.targets.size() == 3);
  CHECK(orders.targets[1].leaving);
  CHECK_FALSE(orders.targets[0].leaving);
  CHECK(orders.targets[2].availability_zone == "az3");
  CHECK(parsed.value().routes.at("framing").max_staleness ==
        std::chrono::seconds(2));
  CHECK(parsed.value().routes.at("framing").priority == 0);
  CHECK(parsed.value().organisations.at("gallery").burst == 100);
}

TEST_CASE("errors in tables name the section, key and reason", "[tables]") {
  CHECK(ErrorOf("[route a]\npool = none\n") ==
        "tables.ini: [route a] pool: pool 'none' does not exist");
  CHECK(ErrorOf("[pool a]\nuser = x\n") ==
        "tables.ini: [pool a] targets: names no target");
  CHECK(ErrorOf("[pool a]\ntargets = 10.0.0.1:1\n").find("availability zone") !=
        std::string::npos);
  CHECK(ErrorOf("[organisation a]\nrate = 0\n").find("rate") !=
        std::string::npos);
  CHECK(ErrorOf("[organisation a]\nspeed = 1\n") ==
        "tables.ini: [organisation a] speed: is not a known key");
  CHECK(ErrorOf("[route a]\npriority = 16\n").find("priority") !=
        std::string::npos);
  CHECK(ErrorOf("[shop a]\nx = 1\n").find("unknown kind 'shop'") !=
        std::string::npos);
  CHECK(ErrorOf("[pool a]\ntargets = 10.0.0.1:1/z\nleaving = 10.0.0.9:1\n")
            .find("not among the targets") != std::string::npos);
}

TEST_CASE("a diff lists added, changed and removed rows by name", "[tables]") {
  const table_set before = ParseTables(kTables, "a").value();
  table_set after = before;
  after.organisations["gallery"].rate = 60;
  after.organisations["counter"] = organisation{"counter"};
  after.routes.clear();
  CHECK(DiffTables(before, after) ==
        std::vector<std::string>{"- route framing", "+ organisation counter",
                                 "~ organisation gallery"});
}

}  // namespace
}  // namespace sassafraswick
