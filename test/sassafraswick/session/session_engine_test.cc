#include "sassafraswick/session/session_engine.h"

#include <catch2/catch.hpp>
#include <string>

namespace sassafraswick {
namespace {

statement Make(statement_kind kind, const std::string& name = "") {
  statement query;
  query.kind = kind;
  query.name = name;
  return query;
}

session_action ActionOf(session_engine& engine, statement_kind kind) {
  return engine.Decide(Make(kind)).action;
}

failure_code FailureOf(session_engine& engine, statement_kind kind) {
  return engine.Decide(Make(kind)).response.failure;
}

TEST_CASE("outside a transaction statements run as independent operations",
          "[session_engine]") {
  const response_policy policy =
      GENERATE(response_policy::kHost, response_policy::kTarget);
  session_engine engine(1, policy);
  CHECK(ActionOf(engine, statement_kind::kRead) ==
        session_action::kRunStandalone);
  CHECK_FALSE(engine.Decide(Make(statement_kind::kRead)).writes);
  CHECK(ActionOf(engine, statement_kind::kWrite) ==
        session_action::kRunStandalone);
  CHECK(engine.Decide(Make(statement_kind::kWrite)).writes);
  CHECK(FailureOf(engine, statement_kind::kUnsupported) ==
        failure_code::kUnsupported);
  CHECK(ActionOf(engine, statement_kind::kSetProxyParameter) ==
        session_action::kProxyParameter);
  CHECK(engine.State() == transaction_state::kIdle);
}

TEST_CASE("inside a transaction statements run on its connection",
          "[session_engine]") {
  const response_policy policy =
      GENERATE(response_policy::kHost, response_policy::kTarget);
  session_engine engine(1, policy);
  engine.OnTransactionOpened(false);
  for (const statement_kind kind :
       {statement_kind::kRead, statement_kind::kWrite,
        statement_kind::kCommit}) {
    CHECK(ActionOf(engine, kind) == session_action::kRunInTransaction);
  }
  CHECK(engine.FailureOnConnectionLoss(true) == failure_code::kAborted);
  engine.OnWrite();
  CHECK(engine.FailureOnConnectionLoss(true) == failure_code::kInDoubt);
  CHECK(engine.FailureOnConnectionLoss(false) == failure_code::kAborted);
  engine.OnTransactionEnded();
  CHECK_FALSE(engine.MayHaveWritten());
  CHECK(engine.State() == transaction_state::kIdle);
}

TEST_CASE("a failed transaction accepts only its end", "[session_engine]") {
  const response_policy policy =
      GENERATE(response_policy::kHost, response_policy::kTarget);
  session_engine engine(1, policy);
  engine.OnTransactionFailed();
  CHECK(engine.State() == transaction_state::kIdle);
  engine.OnTransactionOpened(true);
  engine.OnTransactionFailed();
  CHECK(FailureOf(engine, statement_kind::kRead) ==
        failure_code::kTransactionFailed);
  CHECK(FailureOf(engine, statement_kind::kSetProxyParameter) ==
        failure_code::kTransactionFailed);
  CHECK(engine.State() == transaction_state::kFailed);
  const session_decision commit = engine.Decide(Make(statement_kind::kCommit));
  CHECK(commit.action == session_action::kRollBack);
  CHECK((commit.response.failure == failure_code::kAborted) ==
        (policy == response_policy::kHost));
  const session_decision rollback =
      engine.Decide(Make(statement_kind::kRollback));
  CHECK(rollback.action == session_action::kRollBack);
  CHECK(rollback.response.failure == failure_code::kNone);
}

TEST_CASE("with local responses transactions are opened without a target",
          "[session_engine]") {
  session_engine engine(1, response_policy::kHost);
  CHECK(ActionOf(engine, statement_kind::kBegin) == session_action::kOpen);
  CHECK(ActionOf(engine, statement_kind::kBeginReadOnly) ==
        session_action::kOpen);
  CHECK(FailureOf(engine, statement_kind::kCommit) == failure_code::kMalformed);
  CHECK(FailureOf(engine, statement_kind::kUnknown) ==
        failure_code::kMalformed);
  CHECK(ActionOf(engine, statement_kind::kSet) == session_action::kRespond);
  engine.OnTransactionOpened(false);
  CHECK(ActionOf(engine, statement_kind::kRollback) ==
        session_action::kRollBack);
  CHECK(FailureOf(engine, statement_kind::kBegin) == failure_code::kMalformed);
  CHECK(engine.State() == transaction_state::kFailed);
}

TEST_CASE("with a target's responses every statement runs on a target",
          "[session_engine]") {
  session_engine engine(1, response_policy::kTarget);
  for (const statement_kind kind :
       {statement_kind::kBegin, statement_kind::kBeginReadOnly,
        statement_kind::kSet, statement_kind::kCommit,
        statement_kind::kEmpty}) {
    CHECK(ActionOf(engine, kind) == session_action::kRunStandalone);
  }
}

TEST_CASE("an execution has the kind of its prepared statement",
          "[session_engine]") {
  session_engine engine(1, response_policy::kHost);
  statement prepare = Make(statement_kind::kPrepare, "s0");
  prepare.prepares = statement_kind::kWrite;
  CHECK(engine.Decide(prepare).response.failure == failure_code::kNone);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s0")).writes);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s1")).response.failure ==
        failure_code::kUnknownStatement);
  engine.OnTransactionOpened(false);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s1")).response.failure ==
        failure_code::kUnknownStatement);
  CHECK(engine.State() == transaction_state::kFailed);
}

}  // namespace
}  // namespace sassafraswick
