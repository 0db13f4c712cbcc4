#include "sassafraswick/consistency/token.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("a token is valid only for its organisation and pool", "[token]") {
  const token_codec codec("secret");
  const std::string token = codec.Encode({"gallery", "orders"}, {3, 42});
  const result<log_point> decoded = codec.Decode(token, {"gallery", "orders"});
  REQUIRE(decoded);
  CHECK(decoded.value() == log_point{3, 42});
  CHECK_FALSE(codec.Decode(token, {"counter", "orders"}));
  CHECK_FALSE(codec.Decode(token, {"gallery", "notices"}));
  CHECK_FALSE(codec.Decode(token, {"galleryo", "rders"}));
  CHECK_FALSE(token_codec("other").Decode(token, {"gallery", "orders"}));
}

TEST_CASE("a token with a changed or missing byte is rejected", "[token]") {
  const token_codec codec("secret");
  const token_scope scope{"gallery", "orders"};
  const std::string token = codec.Encode(scope, {3, 42});
  for (std::size_t i = 0; i < token.size(); ++i) {
    std::string forged = token;
    forged[i] = forged[i] == '1' ? '2' : '1';
    INFO(forged);
    CHECK_FALSE(codec.Decode(forged, scope));
    CHECK_FALSE(codec.Decode(token.substr(0, i), scope));
  }
  CHECK_FALSE(codec.Decode(token + "0", scope));
}

}  // namespace
}  // namespace sassafraswick
