#include "sassafraswick/session/session_memory.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

statement Change(statement_kind kind, const std::string& name,
                 const std::string& text, bool writes = false) {
  statement change;
  change.kind = kind;
  change.name = name;
  change.text = text;
  change.prepares_write = writes;
  return change;
}

session_memory Filled() {
  session_memory memory(7);
  CHECK(memory.Apply(Change(statement_kind::kSet, "a", "SET a 1")));
  CHECK(memory.Apply(
      Change(statement_kind::kPrepare, "s0", "PREPARE s0 WRITE q", true)));
  return memory;
}

TEST_CASE("a connection of nobody gets everything", "[session_memory]") {
  const memory_update update = Filled().UpdateFor({});
  CHECK_FALSE(update.reset);
  CHECK(update.texts ==
        std::vector<std::string>{"SET a 1", "PREPARE s0 WRITE q"});
}

TEST_CASE("another session's connection is reset first", "[session_memory]") {
  const memory_update update = Filled().UpdateFor({8, 2});
  CHECK(update.reset);
  CHECK(update.texts.size() == 2);
}

TEST_CASE("the own connection gets only what it lacks, in order",
          "[session_memory]") {
  session_memory memory = Filled();
  const connection_memory before = memory.Current();
  CHECK(memory.UpdateFor(before).texts.empty());
  CHECK(memory.Apply(Change(statement_kind::kSet, "a", "SET a 2")));
  CHECK(
      memory.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  const memory_update update = memory.UpdateFor(before);
  CHECK_FALSE(update.reset);
  CHECK(update.texts == std::vector<std::string>{"SET a 2", "DEALLOCATE s0"});
}

TEST_CASE("a connection that is far behind is reset", "[session_memory]") {
  session_memory memory = Filled();
  const connection_memory before = memory.Current();
  for (int i = 0; i < 40; ++i) {
    CHECK(memory.Apply(
        Change(statement_kind::kSet, "a", "SET a " + std::to_string(i))));
  }
  const memory_update update = memory.UpdateFor(before);
  CHECK(update.reset);
  CHECK(update.texts ==
        std::vector<std::string>{"SET a 39", "PREPARE s0 WRITE q"});
}

TEST_CASE("names that were never prepared are unknown", "[session_memory]") {
  session_memory memory = Filled();
  REQUIRE(memory.FindPrepared("s0") != nullptr);
  CHECK(*memory.FindPrepared("s0"));
  CHECK(memory.FindPrepared("s1") == nullptr);
  CHECK_FALSE(
      memory.Apply(Change(statement_kind::kDeallocate, "s1", "DEALLOCATE s1")));
}

}  // namespace
}  // namespace sassafraswick
