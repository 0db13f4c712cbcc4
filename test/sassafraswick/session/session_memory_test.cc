#include "sassafraswick/session/session_memory.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace sassafraswick {
namespace {

using texts = std::vector<std::string>;

statement Change(statement_kind kind, const std::string& name,
                 const std::string& text,
                 statement_kind prepares = statement_kind::kUnknown) {
  statement change;
  change.kind = kind;
  change.name = name;
  change.text = text;
  change.prepares = prepares;
  return change;
}

void Set(session_memory& memory, const std::string& name,
         const std::string& value) {
  CHECK(memory.Apply(
      Change(statement_kind::kSet, name, "SET " + name + " " + value)));
}

void Prepare(session_memory& memory, const std::string& name,
             const std::string& shape) {
  CHECK(memory.Apply(Change(statement_kind::kPrepare, name,
                            "PREPARE " + name + " WRITE " + shape,
                            statement_kind::kWrite)));
}

session_memory Filled() {
  session_memory memory(7);
  Set(memory, "a", "1");
  Prepare(memory, "s0", "q");
  Prepare(memory, "s1", "q");
  return memory;
}

/// Brings a connection up to date for a statement that runs one name.
memory_update Bring(const session_memory& memory, connection_memory& connection,
                    const std::string& name) {
  memory_use use;
  if (!name.empty()) {
    use.runs.insert(name);
  }
  memory_update update = memory.UpdateFor(connection, use);
  memory.RecordUpdate(connection, update, use);
  return update;
}

TEST_CASE("a connection of nobody gets the values and what runs",
          "[session_memory]") {
  connection_memory connection;
  const memory_update update = Bring(Filled(), connection, "s0");
  CHECK_FALSE(update.reset);
  CHECK(update.values == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("another session's connection is reset first", "[session_memory]") {
  connection_memory connection;
  session_memory other(8);
  Prepare(other, "s0", "theirs");
  Bring(other, connection, "s0");
  const memory_update update = Bring(Filled(), connection, "s0");
  CHECK(update.reset);
  CHECK(update.values == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("the own connection gets only what it lacks", "[session_memory]") {
  session_memory memory = Filled();
  connection_memory connection;
  Bring(memory, connection, "s0");
  CHECK(Bring(memory, connection, "s0").values.empty());
  CHECK(Bring(memory, connection, "s0").prepares.empty());
  Set(memory, "b", "1");
  Set(memory, "a", "2");
  const memory_update update = Bring(memory, connection, "s1");
  CHECK_FALSE(update.reset);
  CHECK(update.values == texts{"SET b 1", "SET a 2"});
  CHECK(update.prepares == texts{"PREPARE s1 WRITE q"});
}

TEST_CASE("a connection far behind gets the last value of each name",
          "[session_memory]") {
  session_memory memory = Filled();
  connection_memory connection;
  Bring(memory, connection, "");
  for (int i = 0; i < 40; ++i) {
    Set(memory, "a", std::to_string(i));
  }
  CHECK(Bring(memory, connection, "").values == texts{"SET a 39"});
}

TEST_CASE("a connection that holds an old shape of a name is reset",
          "[session_memory]") {
  session_memory memory = Filled();
  connection_memory connection;
  Bring(memory, connection, "s0");
  CHECK(
      memory.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  Prepare(memory, "s0", "other");
  const memory_update update = Bring(memory, connection, "s0");
  CHECK(update.reset);
  CHECK(update.values == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE other"});
  CHECK(Bring(memory, connection, "s0").prepares.empty());
}

TEST_CASE("a connection that still holds a name about to be prepared is reset",
          "[session_memory]") {
  session_memory memory = Filled();
  connection_memory connection;
  Bring(memory, connection, "s0");
  CHECK(
      memory.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  memory_use use;
  use.prepares.insert("s0");
  CHECK(memory.UpdateFor(connection, use).reset);
  use.prepares = {"s1"};
  CHECK_FALSE(memory.UpdateFor(connection, use).reset);
}

TEST_CASE("names that were never prepared are unknown", "[session_memory]") {
  session_memory memory = Filled();
  REQUIRE(memory.FindPrepared("s0") != nullptr);
  CHECK(memory.FindPrepared("s0")->runs == statement_kind::kWrite);
  CHECK(memory.FindPrepared("s9") == nullptr);
  CHECK_FALSE(
      memory.Apply(Change(statement_kind::kDeallocate, "s9", "DEALLOCATE s9")));
}

}  // namespace
}  // namespace sassafraswick
