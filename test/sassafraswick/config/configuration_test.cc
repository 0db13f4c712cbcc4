#include "sassafraswick/config/configuration.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("a configuration is decoded as it was encoded", "[configuration]") {
  configuration version;
  version.version = 7;
  version.change_id = "abc";
  version.summary = "apply";
  version.tables_text = "[organisation gallery]\nrate = 5\n";
  const issued_key issued = IssueKey("gallery");
  version.keys[issued.record.id] = issued.record;
  const std::string encoded = SerializeConfiguration(version);
  CHECK(encoded.find(issued.text) == std::string::npos);
  const result<configuration> decoded = ParseConfiguration(encoded);
  REQUIRE(decoded);
  CHECK(decoded.value().version == 7);
  CHECK(decoded.value().tables.organisations.at("gallery").rate == 5);
  CHECK(decoded.value().keys == version.keys);
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
  configuration version;
  const issued_key issued = IssueKey("gallery");
  version.keys[issued.record.id] = issued.record;
  CHECK(Authenticate(version, "gallery", issued.text) == issued.record.id);
  CHECK_FALSE(Authenticate(version, "counter", issued.text).has_value());
  CHECK_FALSE(Authenticate(version, "gallery", issued.text + "0").has_value());
  CHECK_FALSE(Authenticate(version, "gallery", issued.record.id).has_value());
  CHECK_FALSE(Authenticate(version, "gallery", "").has_value());
  version.keys.clear();
  CHECK_FALSE(Authenticate(version, "gallery", issued.text).has_value());
}

}  // namespace
}  // namespace sassafraswick
