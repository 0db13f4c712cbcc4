#include "sassafraswick/core/deflate.h"

#include <catch2/catch.hpp>
#include <string>

namespace sassafraswick {
namespace {

constexpr std::size_t kMaxTextBytes = 4096;

TEST_CASE("compressed text decompresses to the original", "[deflate]") {
  const std::string text =
      GENERATE(std::string(), std::string("a"), std::string(kMaxTextBytes, 'x'),
               std::string("\0binary\xff", 8));
  const result<std::string> restored =
      Inflate(Deflate(text), text.size(), kMaxTextBytes);
  REQUIRE(restored);
  CHECK(restored.value() == text);
}

TEST_CASE("a repetitive document compresses to less than a fifth",
          "[deflate]") {
  std::string routes;
  for (int i = 0; i < 1400; ++i) {
    routes += R"({"host":"db)" + std::to_string(i) +
              R"(","service":"orders","route_type":"primary"},)";
  }
  CHECK(Deflate(routes).size() * 5 < routes.size());
}

TEST_CASE("corrupt data and wrong or excessive sizes are rejected",
          "[deflate]") {
  const std::string text(100, 'x');
  const std::string bytes = Deflate(text);
  CHECK_FALSE(Inflate("no such format", text.size(), kMaxTextBytes));
  CHECK_FALSE(
      Inflate(bytes.substr(0, bytes.size() / 2), text.size(), kMaxTextBytes));
  CHECK_FALSE(Inflate(bytes, text.size() - 1, kMaxTextBytes));
  CHECK_FALSE(Inflate(bytes, text.size() + 1, kMaxTextBytes));
  CHECK_FALSE(Inflate(bytes, kMaxTextBytes + 1, kMaxTextBytes));
  CHECK_FALSE(Inflate(bytes, SIZE_MAX, kMaxTextBytes));
}

}  // namespace
}  // namespace sassafraswick
