#include "sassafraswick/wire/request_unit.h"

#include <catch2/catch.hpp>
#include <random>

#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

const session_state kNoPreparedStatements(1);

/// Adds frames one by one; returns how many of them completed the unit.
result<int> Feed(request_unit& unit, const std::string& bytes,
                 const session_state& known) {
  frame_buffer buffer;
  const std::span<char> space = buffer.Prepare(bytes.size());
  std::copy(bytes.begin(), bytes.end(), space.begin());
  buffer.Commit(bytes.size());
  int completed = 0;
  while (!buffer.Data().empty()) {
    BOOST_OUTCOME_TRY(std::optional<frame_header> header, buffer.Header());
    BOOST_OUTCOME_TRY(bool complete,
                      AddFrame(unit, *buffer.Frame(*header),
                               buffer.Data().substr(0, header->size), known));
    completed += complete ? 1 : 0;
    buffer.Consume(header->size);
  }
  return completed;
}

std::string Parse(const std::string& name, const std::string& sql) {
  std::string out;
  frame_writer(out, frontend::kParse).String(name).String(sql).Int16(0);
  return out;
}

std::string Bind(const std::string& name) {
  std::string out;
  frame_writer(out, frontend::kBind).String("").String(name).Int16(0).Int16(0);
  return out;
}

std::string Sync() {
  std::string out;
  AppendEmptyFrame(out, frontend::kSync);
  return out;
}

TEST_CASE("a simple query completes a request unit", "[unit]") {
  request_unit unit;
  std::string bytes;
  AppendQuery(bytes, "SELECT 1");
  CHECK(Feed(unit, bytes, kNoPreparedStatements).value() == 1);
  CHECK(unit.is_simple);
  CHECK(unit.combined.kind == statement_kind::kRead);
}

TEST_CASE("a batch counts as a read only if all statements are reads",
          "[unit]") {
  request_unit reads;
  CHECK(Feed(reads, Parse("", "SELECT 1") + Bind("") + Sync(),
             kNoPreparedStatements)
            .value() == 1);
  CHECK(reads.combined.kind == statement_kind::kRead);
  CHECK(reads.use.runs.empty());
  request_unit mixed;
  REQUIRE(Feed(mixed,
               Parse("a", "SELECT 1") + Parse("b", "DELETE FROM t") + Sync(),
               kNoPreparedStatements));
  CHECK(mixed.combined.kind == statement_kind::kWrite);
}

TEST_CASE("statements prepared in earlier units keep their class", "[unit]") {
  request_unit earlier;
  REQUIRE(Feed(earlier, Parse("w", "DELETE FROM t") + Sync(),
               kNoPreparedStatements));
  session_state known(1);
  REQUIRE(known.Apply(earlier.prepared.at(0)));
  request_unit unit;
  REQUIRE(Feed(unit, Bind("w") + Sync(), known));
  CHECK(unit.combined.kind == statement_kind::kWrite);
  CHECK(unit.use.runs == std::set<std::string>{"w"});
}

TEST_CASE("decoding random bytes does not crash", "[unit][fuzz]") {
  std::mt19937_64 random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes;
    const std::size_t size = random() % 64;
    for (std::size_t j = 0; j < size; ++j) {
      bytes.push_back(static_cast<char>(random()));
    }
    frame_buffer buffer;
    const std::span<char> space = buffer.Prepare(bytes.size());
    std::copy(bytes.begin(), bytes.end(), space.begin());
    buffer.Commit(bytes.size());
    const result<std::optional<frame_header>> header = buffer.Header();
    if (header && header.value().has_value()) {
      const std::optional<frame_view> frame = buffer.Frame(*header.value());
      if (frame.has_value()) {
        request_unit unit;
        static_cast<void>(
            AddFrame(unit, *frame, buffer.Data(), kNoPreparedStatements));
      }
    }
    static_cast<void>(ParseStartup(bytes));
    static_cast<void>(ParseErrorResponse(bytes));
    static_cast<void>(ClassifyStatement(bytes));
  }
}

TEST_CASE("truncated and unexpected frames are rejected", "[unit]") {
  for (const char type :
       {frontend::kParse, frontend::kBind, frontend::kDescribe,
        frontend::kClose, frontend::kQuery, '?', 'd'}) {
    request_unit unit;
    std::string bytes;
    frame_writer(bytes, type).Byte('x');
    INFO(type);
    CHECK_FALSE(Feed(unit, bytes, kNoPreparedStatements));
  }
}

}  // namespace
}  // namespace sassafraswick
