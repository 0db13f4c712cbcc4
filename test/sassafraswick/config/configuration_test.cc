#include "sassafraswick/config/configuration.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("a configuration is decoded as it was encoded", "[configuration]") {
  configuration original;
  original.version = 7;
  original.change_id = "abc";
  original.summary = "apply";
  original.tables_text = "[organisation gallery]\nrate = 5\n";
  const issued_key issued = IssueKey("gallery");
  original.keys[issued.record.id] = issued.record;
  const std::string encoded = SerializeConfiguration(original);
  CHECK(encoded.find(issued.text) == std::string::npos);
  const result<configuration> decoded = ParseConfiguration(encoded);
  REQUIRE(decoded);
  CHECK(decoded.value().version == 7);
  CHECK(decoded.value().tables.organisations.at("gallery").rate == 5);
  CHECK(decoded.value().keys == original.keys);
}

TEST_CASE("malformed configuration records are rejected", "[configuration]") {
  for (
      const char* const bad :
      {"", "[]", "{}", R"({"version":1,"keys":{}})",
       R"({"version":1,"keys":[1],"change_id":"","summary":"","tables":""})"}) {
    INFO(bad);
    CHECK_FALSE(ParseConfiguration(bad));
  }
}

TEST_CASE("a key authenticates only its own organisation", "[configuration]") {
  configuration current;
  const issued_key issued = IssueKey("gallery");
  current.keys[issued.record.id] = issued.record;
  CHECK(Authenticate(current, "gallery", issued.text) == issued.record.id);
  CHECK_FALSE(Authenticate(current, "counter", issued.text).has_value());
  CHECK_FALSE(Authenticate(current, "gallery", issued.text + "0").has_value());
  CHECK_FALSE(Authenticate(current, "gallery", issued.record.id).has_value());
  CHECK_FALSE(Authenticate(current, "gallery", "").has_value());
  current.keys.clear();
  CHECK_FALSE(Authenticate(current, "gallery", issued.text).has_value());
}

}  // namespace
}  // namespace sassafraswick
