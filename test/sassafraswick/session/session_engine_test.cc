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

session_step StepOf(session_engine& engine, statement_kind kind) {
  return engine.Decide(Make(kind)).step;
}

failure_code FailureOf(session_engine& engine, statement_kind kind) {
  return engine.Decide(Make(kind)).answer.failure;
}

TEST_CASE("outside a transaction statements run on their own",
          "[session_engine]") {
  const answer_policy policy =
      GENERATE(answer_policy::kHost, answer_policy::kTarget);
  session_engine engine(1, policy);
  CHECK(StepOf(engine, statement_kind::kRead) == session_step::kRunSingle);
  CHECK_FALSE(engine.Decide(Make(statement_kind::kRead)).writes);
  CHECK(StepOf(engine, statement_kind::kWrite) == session_step::kRunSingle);
  CHECK(engine.Decide(Make(statement_kind::kWrite)).writes);
  CHECK(FailureOf(engine, statement_kind::kUnsupported) ==
        failure_code::kUnsupported);
  CHECK(StepOf(engine, statement_kind::kSetOwn) == session_step::kOwnParameter);
  CHECK(engine.State() == transaction_state::kIdle);
}

TEST_CASE("inside a transaction statements run on its connection",
          "[session_engine]") {
  const answer_policy policy =
      GENERATE(answer_policy::kHost, answer_policy::kTarget);
  session_engine engine(1, policy);
  engine.NoteOpened(false);
  for (const statement_kind kind :
       {statement_kind::kRead, statement_kind::kWrite,
        statement_kind::kCommit}) {
    CHECK(StepOf(engine, kind) == session_step::kRunInside);
  }
  CHECK(engine.OutcomeOfLoss(true) == failure_code::kAborted);
  engine.NoteWrite();
  CHECK(engine.OutcomeOfLoss(true) == failure_code::kInDoubt);
  CHECK(engine.OutcomeOfLoss(false) == failure_code::kAborted);
  engine.NoteEnded();
  CHECK_FALSE(engine.Wrote());
  CHECK(engine.State() == transaction_state::kIdle);
}

TEST_CASE("a failed transaction only ends", "[session_engine]") {
  const answer_policy policy =
      GENERATE(answer_policy::kHost, answer_policy::kTarget);
  session_engine engine(1, policy);
  engine.NoteFailed();
  CHECK(engine.State() == transaction_state::kIdle);
  engine.NoteOpened(true);
  engine.NoteFailed();
  CHECK(FailureOf(engine, statement_kind::kRead) ==
        failure_code::kTransactionFailed);
  CHECK(FailureOf(engine, statement_kind::kSetOwn) ==
        failure_code::kTransactionFailed);
  CHECK(engine.State() == transaction_state::kFailed);
  const session_decision commit = engine.Decide(Make(statement_kind::kCommit));
  CHECK(commit.step == session_step::kDrop);
  CHECK((commit.answer.failure == failure_code::kAborted) ==
        (policy == answer_policy::kHost));
  const session_decision rollback =
      engine.Decide(Make(statement_kind::kRollback));
  CHECK(rollback.step == session_step::kDrop);
  CHECK(rollback.answer.failure == failure_code::kNone);
}

TEST_CASE("a host that answers itself opens transactions without a target",
          "[session_engine]") {
  session_engine engine(1, answer_policy::kHost);
  CHECK(StepOf(engine, statement_kind::kBegin) == session_step::kOpen);
  CHECK(StepOf(engine, statement_kind::kBeginReadOnly) == session_step::kOpen);
  CHECK(FailureOf(engine, statement_kind::kCommit) == failure_code::kMalformed);
  CHECK(FailureOf(engine, statement_kind::kUnknown) ==
        failure_code::kMalformed);
  CHECK(StepOf(engine, statement_kind::kSet) == session_step::kAnswer);
  engine.NoteOpened(false);
  CHECK(StepOf(engine, statement_kind::kRollback) == session_step::kDrop);
  CHECK(FailureOf(engine, statement_kind::kBegin) == failure_code::kMalformed);
  CHECK(engine.State() == transaction_state::kFailed);
}

TEST_CASE("a target that answers sees every statement", "[session_engine]") {
  session_engine engine(1, answer_policy::kTarget);
  for (const statement_kind kind :
       {statement_kind::kBegin, statement_kind::kBeginReadOnly,
        statement_kind::kSet, statement_kind::kCommit,
        statement_kind::kEmpty}) {
    CHECK(StepOf(engine, kind) == session_step::kRunSingle);
  }
}

TEST_CASE("executing takes the kind of what was prepared", "[session_engine]") {
  session_engine engine(1, answer_policy::kHost);
  statement prepare = Make(statement_kind::kPrepare, "s0");
  prepare.prepares = statement_kind::kWrite;
  CHECK(engine.Decide(prepare).answer.failure == failure_code::kNone);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s0")).writes);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s1")).answer.failure ==
        failure_code::kUnknownStatement);
  engine.NoteOpened(false);
  CHECK(engine.Decide(Make(statement_kind::kExecute, "s1")).answer.failure ==
        failure_code::kUnknownStatement);
  CHECK(engine.State() == transaction_state::kFailed);
}

}  // namespace
}  // namespace sassafraswick
