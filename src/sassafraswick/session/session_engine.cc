#include "sassafraswick/session/session_engine.h"

#include <utility>

namespace sassafraswick {
namespace {

session_decision Refuse(failure_code failure, std::string detail) {
  session_decision decision;
  decision.answer.failure = failure;
  decision.answer.detail = std::move(detail);
  return decision;
}

session_decision Take(session_step step, bool writes = false) {
  session_decision decision;
  decision.step = step;
  decision.writes = writes;
  return decision;
}

bool EndsTransaction(statement_kind kind) {
  return kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

/// Kinds that change nothing wherever they run.
bool IsHarmless(statement_kind kind) {
  return kind == statement_kind::kRead || EndsTransaction(kind);
}

}  // namespace

session_decision session_engine::Decide(const statement& query) {
  if (state_ == transaction_state::kFailed) {
    return DecideFailed(query);
  }
  if (query.kind == statement_kind::kUnsupported) {
    return Refuse(failure_code::kUnsupported,
                  query.name + " cannot be used through pooled connections");
  }
  if (query.kind == statement_kind::kSetOwn ||
      query.kind == statement_kind::kShowOwn) {
    return Take(session_step::kOwnParameter);
  }
  session_decision decision =
      policy_ == answer_policy::kHost ? DecideHere(query) : DecideRun(query);
  const bool refused = decision.step == session_step::kAnswer &&
                       decision.answer.failure != failure_code::kNone;
  if (refused) {
    NoteFailed();
  }
  return decision;
}

session_decision session_engine::DecideFailed(const statement& query) const {
  if (!EndsTransaction(query.kind)) {
    return Refuse(failure_code::kTransactionFailed,
                  "the transaction has failed; end it first");
  }
  session_decision decision = Take(session_step::kDrop);
  // A target that answers itself says ROLLBACK to a COMMIT that comes late.
  if (query.kind == statement_kind::kCommit &&
      policy_ == answer_policy::kHost) {
    decision.answer.failure = failure_code::kAborted;
    decision.answer.detail = "the transaction had failed and was rolled back";
  }
  return decision;
}

session_decision session_engine::DecideHere(const statement& query) {
  const bool is_open = state_ == transaction_state::kOpen;
  switch (query.kind) {
    case statement_kind::kSet:
    case statement_kind::kPrepare:
    case statement_kind::kDeallocate:
      return memory_.Apply(query)
                 ? session_decision()
                 : Refuse(failure_code::kUnknownStatement,
                          "no prepared statement has this name");
    case statement_kind::kBegin:
    case statement_kind::kBeginReadOnly:
      return is_open ? Refuse(failure_code::kMalformed,
                              "not a statement of an open transaction")
                     : Take(session_step::kOpen);
    case statement_kind::kCommit:
    case statement_kind::kRollback:
      if (!is_open) {
        return Refuse(failure_code::kMalformed, "no transaction is open");
      }
      return Take(query.kind == statement_kind::kCommit
                      ? session_step::kRunInside
                      : session_step::kDrop);
    case statement_kind::kRead:
    case statement_kind::kWrite:
    case statement_kind::kExecute:
      return DecideRun(query);
    default:
      return Refuse(failure_code::kMalformed, "unknown statement");
  }
}

session_decision session_engine::DecideRun(const statement& query) const {
  statement_kind kind = query.kind;
  if (kind == statement_kind::kExecute) {
    const prepared_statement* const prepared = memory_.FindPrepared(query.name);
    if (prepared == nullptr) {
      return Refuse(failure_code::kUnknownStatement,
                    "no prepared statement has this name");
    }
    kind = prepared->runs;
  }
  return Take(state_ == transaction_state::kOpen ? session_step::kRunInside
                                                 : session_step::kRunSingle,
              !IsHarmless(kind));
}

void session_engine::NoteOpened(bool wrote) noexcept {
  state_ = transaction_state::kOpen;
  wrote_ = wrote;
}

void session_engine::NoteFailed() noexcept {
  if (state_ == transaction_state::kOpen) {
    state_ = transaction_state::kFailed;
  }
}

void session_engine::NoteEnded() noexcept {
  state_ = transaction_state::kIdle;
  wrote_ = false;
}

failure_code session_engine::OutcomeOfLoss(bool ends) const noexcept {
  return ends && wrote_ ? failure_code::kInDoubt : failure_code::kAborted;
}

}  // namespace sassafraswick
