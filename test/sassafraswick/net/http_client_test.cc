#include "sassafraswick/net/http_client.h"

#include <catch2/catch.hpp>

/// @file
/// Tests the HTTP client.

namespace sassafraswick {
namespace {

TEST_CASE("a key of any characters is encoded for a request target",
          "[http_client]") {
  CHECK(PercentEncode("servers/i-7f3a~_.") == "servers/i-7f3a~_.");
  CHECK(PercentEncode("a b&after=\r\n%\xc3\xa9") ==
        "a%20b%26after%3D%0D%0A%25%C3%A9");
  CHECK(PercentEncode("").empty());
}

}  // namespace
}  // namespace sassafraswick
