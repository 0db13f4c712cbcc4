#include "sassafraswick/session/session_state.h"

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

void Set(session_state& state, const std::string& name,
         const std::string& value) {
  CHECK(state.Apply(
      Change(statement_kind::kSet, name, "SET " + name + " " + value)));
}

void Prepare(session_state& state, const std::string& name,
             const std::string& shape) {
  CHECK(state.Apply(Change(statement_kind::kPrepare, name,
                           "PREPARE " + name + " WRITE " + shape,
                           statement_kind::kWrite)));
}

session_state Filled() {
  session_state state(7);
  Set(state, "a", "1");
  Prepare(state, "s0", "q");
  Prepare(state, "s1", "q");
  return state;
}

/// Brings a connection up to date for a statement that runs one name.
session_state_update Bring(const session_state& state,
                           connection_session_state& connection,
                           const std::string& name) {
  prepared_statement_use use;
  if (!name.empty()) {
    use.runs.insert(name);
  }
  session_state_update update = state.UpdateFor(connection, use);
  state.RecordUpdate(connection, update, use);
  return update;
}

TEST_CASE("a connection of nobody gets the values and what runs",
          "[session_memory]") {
  connection_session_state connection;
  const session_state_update update = Bring(Filled(), connection, "s0");
  CHECK_FALSE(update.reset);
  CHECK(update.variables == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("another session's connection is reset first", "[session_memory]") {
  connection_session_state connection;
  session_state other(8);
  Prepare(other, "s0", "theirs");
  Bring(other, connection, "s0");
  const session_state_update update = Bring(Filled(), connection, "s0");
  CHECK(update.reset);
  CHECK(update.variables == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("the own connection gets only what it lacks", "[session_memory]") {
  session_state state = Filled();
  connection_session_state connection;
  Bring(state, connection, "s0");
  CHECK(Bring(state, connection, "s0").variables.empty());
  CHECK(Bring(state, connection, "s0").prepares.empty());
  Set(state, "b", "1");
  Set(state, "a", "2");
  const session_state_update update = Bring(state, connection, "s1");
  CHECK_FALSE(update.reset);
  CHECK(update.variables == texts{"SET b 1", "SET a 2"});
  CHECK(update.prepares == texts{"PREPARE s1 WRITE q"});
}

TEST_CASE("a connection far behind gets the last value of each name",
          "[session_memory]") {
  session_state state = Filled();
  connection_session_state connection;
  Bring(state, connection, "");
  for (int i = 0; i < 40; ++i) {
    Set(state, "a", std::to_string(i));
  }
  CHECK(Bring(state, connection, "").variables == texts{"SET a 39"});
}

TEST_CASE("a connection that holds an old shape of a name is reset",
          "[session_memory]") {
  session_state state = Filled();
  connection_session_state connection;
  Bring(state, connection, "s0");
  CHECK(
      state.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  Prepare(state, "s0", "other");
  const session_state_update update = Bring(state, connection, "s0");
  CHECK(update.reset);
  CHECK(update.variables == texts{"SET a 1"});
  CHECK(update.prepares == texts{"PREPARE s0 WRITE other"});
  CHECK(Bring(state, connection, "s0").prepares.empty());
}

TEST_CASE("a connection that still holds a name about to be prepared is reset",
          "[session_memory]") {
  session_state state = Filled();
  connection_session_state connection;
  Bring(state, connection, "s0");
  CHECK(
      state.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  prepared_statement_use use;
  use.prepares.insert("s0");
  CHECK(state.UpdateFor(connection, use).reset);
  use.prepares = {"s1"};
  CHECK_FALSE(state.UpdateFor(connection, use).reset);
}

TEST_CASE("names that were never prepared are unknown", "[session_memory]") {
  session_state state = Filled();
  REQUIRE(state.FindPrepared("s0") != nullptr);
  CHECK(state.FindPrepared("s0")->runs == statement_kind::kWrite);
  CHECK(state.FindPrepared("s9") == nullptr);
  CHECK_FALSE(
      state.Apply(Change(statement_kind::kDeallocate, "s9", "DEALLOCATE s9")));
}

}  // namespace
}  // namespace sassafraswick
