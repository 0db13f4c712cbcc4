#include "sassafraswick/session/session_state.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace sassafraswick {
namespace {

using statement_texts = std::vector<std::string>;

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
             const std::string& definition) {
  CHECK(state.Apply(Change(statement_kind::kPrepare, name,
                           "PREPARE " + name + " WRITE " + definition,
                           statement_kind::kWrite)));
}

session_state StateWithStatements() {
  session_state state(7);
  Set(state, "a", "1");
  Prepare(state, "s0", "q");
  Prepare(state, "s1", "q");
  return state;
}

/// Transfers to a connection the state for a statement that runs one prepared
/// statement, or none if the name is empty.
session_state_update TransferState(const session_state& state,
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

TEST_CASE("an unused connection gets the variables and the used statement",
          "[session_memory]") {
  connection_session_state connection;
  const session_state_update update =
      TransferState(StateWithStatements(), connection, "s0");
  CHECK_FALSE(update.reset);
  CHECK(update.variables == statement_texts{"SET a 1"});
  CHECK(update.prepares == statement_texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("a connection with another session's state is reset first",
          "[session_memory]") {
  connection_session_state connection;
  session_state other(8);
  Prepare(other, "s0", "theirs");
  TransferState(other, connection, "s0");
  const session_state_update update =
      TransferState(StateWithStatements(), connection, "s0");
  CHECK(update.reset);
  CHECK(update.variables == statement_texts{"SET a 1"});
  CHECK(update.prepares == statement_texts{"PREPARE s0 WRITE q"});
}

TEST_CASE("a connection with the session's state gets only what it lacks",
          "[session_memory]") {
  session_state state = StateWithStatements();
  connection_session_state connection;
  TransferState(state, connection, "s0");
  CHECK(TransferState(state, connection, "s0").variables.empty());
  CHECK(TransferState(state, connection, "s0").prepares.empty());
  Set(state, "b", "1");
  Set(state, "a", "2");
  const session_state_update update = TransferState(state, connection, "s1");
  CHECK_FALSE(update.reset);
  CHECK(update.variables == statement_texts{"SET b 1", "SET a 2"});
  CHECK(update.prepares == statement_texts{"PREPARE s1 WRITE q"});
}

TEST_CASE("a connection gets only the last value of each variable",
          "[session_memory]") {
  session_state state = StateWithStatements();
  connection_session_state connection;
  TransferState(state, connection, "");
  for (int i = 0; i < 40; ++i) {
    Set(state, "a", std::to_string(i));
  }
  CHECK(TransferState(state, connection, "").variables ==
        statement_texts{"SET a 39"});
}

TEST_CASE("a connection with an old statement under a used name is reset",
          "[session_memory]") {
  session_state state = StateWithStatements();
  connection_session_state connection;
  TransferState(state, connection, "s0");
  CHECK(
      state.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  Prepare(state, "s0", "other");
  const session_state_update update = TransferState(state, connection, "s0");
  CHECK(update.reset);
  CHECK(update.variables == statement_texts{"SET a 1"});
  CHECK(update.prepares == statement_texts{"PREPARE s0 WRITE other"});
  CHECK(TransferState(state, connection, "s0").prepares.empty());
}

TEST_CASE("a connection that holds a name to be prepared is reset",
          "[session_memory]") {
  session_state state = StateWithStatements();
  connection_session_state connection;
  TransferState(state, connection, "s0");
  CHECK(
      state.Apply(Change(statement_kind::kDeallocate, "s0", "DEALLOCATE s0")));
  prepared_statement_use use;
  use.prepares.insert("s0");
  CHECK(state.UpdateFor(connection, use).reset);
  use.prepares = {"s1"};
  CHECK_FALSE(state.UpdateFor(connection, use).reset);
}

TEST_CASE("a name that was never prepared is unknown", "[session_memory]") {
  session_state state = StateWithStatements();
  REQUIRE(state.FindPrepared("s0") != nullptr);
  CHECK(state.FindPrepared("s0")->runs == statement_kind::kWrite);
  CHECK(state.FindPrepared("s9") == nullptr);
  CHECK_FALSE(
      state.Apply(Change(statement_kind::kDeallocate, "s9", "DEALLOCATE s9")));
}

}  // namespace
}  // namespace sassafraswick
