#include "platform/line_codec.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace sassafraswick::platform {
namespace {

statement Parse(const std::string& text) {
  return line_codec::ParseCaller("QUERY id7 " + text).query;
}

TEST_CASE("a statement keeps its id and text", "[line_codec]") {
  const statement query = Parse("EXECUTE s1 1a4 xkq  pwnzd ");
  CHECK(query.id == "id7");
  CHECK(query.kind == statement_kind::kExecute);
  CHECK(query.name == "s1");
  CHECK(query.text == "EXECUTE s1 1a4 xkq  pwnzd ");
  CHECK(line_codec::FormatStatement(query.id, query.text, log_point{3, 12}) ==
        "QUERY id7 AFTER 3.12 EXECUTE s1 1a4 xkq  pwnzd \r\n");
}

TEST_CASE("the kind of a statement follows from its text", "[line_codec]") {
  CHECK(Parse("BEGIN").kind == statement_kind::kBegin);
  CHECK(Parse("BEGIN READ").kind == statement_kind::kBeginReadOnly);
  CHECK(Parse("BEGIN WRITE").kind == statement_kind::kUnknown);
  CHECK(Parse("PREPARE s0 WRITE q2c").prepares == statement_kind::kWrite);
  CHECK(Parse("PREPARE s0 READ q2c").prepares == statement_kind::kRead);
  CHECK(Parse("PREPARE s0 q2c").kind == statement_kind::kUnknown);
  // Callers may not use the control statements of the proxy.
  for (const char* const control_text :
       {"STATUS", "PAUSE 3", "RESUME", "STEPDOWN 3", "RESET",
        "AFTER 3.1 READ a", ""}) {
    CHECK(Parse(control_text).kind == statement_kind::kUnknown);
  }
}

TEST_CASE("a response is assembled from its lines", "[line_codec]") {
  line_codec::result_reader reader;
  CHECK_FALSE(reader.Feed("ROW one two").value().has_value());
  CHECK_FALSE(reader.Feed("COMPLETE 7.1f3").value().has_value());
  const statement_result response = *reader.Feed("READY I 3.1209").value();
  CHECK(response.failure == failure_code::kNone);
  CHECK(response.rows == std::vector<std::string>{"one two"});
  CHECK(response.signature == "7.1f3");
  CHECK(response.position == log_point{3, 1209});
  CHECK(line_codec::FormatResult(response) ==
        "ROW one two\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n");
}

TEST_CASE("an error keeps its code and text", "[line_codec]") {
  line_codec::result_reader reader;
  CHECK_FALSE(reader.Feed("ERROR READONLY i-7f").value().has_value());
  const statement_result response = *reader.Feed("READY E 3.9").value();
  CHECK(response.failure == failure_code::kReadOnly);
  CHECK(line_codec::FormatResult(response) ==
        "ERROR READONLY i-7f\r\nREADY E 3.9\r\n");
  CHECK(reader.Feed("ERROR TOOMANY").value().has_value());
  CHECK_FALSE(reader.Feed("HELLO"));
}

TEST_CASE("a STATUS row is decoded", "[line_codec]") {
  statement_result response;
  response.rows = {"replica 3 3.1209 4 12 2 17"};
  const instance_status status = line_codec::ParseStatus(response).value();
  CHECK_FALSE(status.is_primary);
  CHECK(status.term == 3);
  CHECK(status.received == log_point{3, 1209});
  CHECK(status.paused_term == 4);
  response.rows = {"king 3 3.1 0 0 0 0"};
  CHECK_FALSE(line_codec::ParseStatus(response));
  response.rows.clear();
  CHECK_FALSE(line_codec::ParseStatus(response));
}

TEST_CASE("the codec does not crash on random lines", "[line_codec][fuzz]") {
  std::mt19937 random(11);
  const std::vector<std::string> words = {
      "START", "QUERY", "ROW",  "COMPLETE", "READY",   "ERROR", "BEGIN",
      "READ",  "I",     "3.12", "-",        "PREPARE", " ",     "\xff"};
  for (int i = 0; i < 20'000; ++i) {
    std::string line;
    const std::size_t count = random() % 6;
    for (std::size_t j = 0; j < count; ++j) {
      line += words[random() % words.size()];
      line += random() % 3 == 0 ? std::string(1, static_cast<char>(random()))
                                : std::string(" ");
    }
    const caller_message message = line_codec::ParseCaller(line);
    CHECK((message.kind != caller_message_kind::kStatement ||
           !message.query.id.empty()));
    line_codec::result_reader reader;
    static_cast<void>(reader.Feed(line).has_value());
    statement_result response;
    response.rows = {line};
    static_cast<void>(line_codec::ParseStatus(response).has_value());
  }
}

}  // namespace
}  // namespace sassafraswick::platform
