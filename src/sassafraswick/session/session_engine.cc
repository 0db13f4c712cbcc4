#include "sassafraswick/session/session_engine.h"

#include <utility>

namespace sassafraswick {
namespace {

session_decision Reject(failure_code failure, std::string detail) {
  session_decision decision;
  decision.response.failure = failure;
  decision.response.detail = std::move(detail);
  return decision;
}

session_decision Proceed(session_action action, bool writes = false) {
  session_decision decision;
  decision.action = action;
  decision.writes = writes;
  return decision;
}

bool EndsTransaction(statement_kind kind) {
  return kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

/// Returns whether statements of a kind change no data.
bool ChangesNoData(statement_kind kind) {
  return kind == statement_kind::kRead || EndsTransaction(kind);
}

}  // namespace

session_decision session_engine::Decide(const statement& query) {
  if (state_ == transaction_state::kFailed) {
    return DecideFailed(query);
  }
  if (query.kind == statement_kind::kUnsupported) {
    return Reject(failure_code::kUnsupported,
                  query.name + " cannot be used through pooled connections");
  }
  if (query.kind == statement_kind::kSetProxyParameter ||
      query.kind == statement_kind::kShowProxyParameter) {
    return Proceed(session_action::kProxyParameter);
  }
  session_decision decision = policy_ == response_policy::kHost
                                  ? DecideLocally(query)
                                  : DecideRun(query);
  const bool rejected = decision.action == session_action::kRespond &&
                        decision.response.failure != failure_code::kNone;
  if (rejected) {
    OnTransactionFailed();
  }
  return decision;
}

session_decision session_engine::DecideFailed(const statement& query) const {
  if (!EndsTransaction(query.kind)) {
    return Reject(failure_code::kTransactionFailed,
                  "the transaction has failed; end it first");
  }
  session_decision decision = Proceed(session_action::kRollBack);
  // A target itself responds ROLLBACK to a COMMIT of a failed transaction.
  if (query.kind == statement_kind::kCommit &&
      policy_ == response_policy::kHost) {
    decision.response.failure = failure_code::kAborted;
    decision.response.detail = "the transaction had failed and was rolled back";
  }
  return decision;
}

session_decision session_engine::DecideLocally(const statement& query) {
  const bool is_open = state_ == transaction_state::kOpen;
  switch (query.kind) {
    case statement_kind::kSet:
    case statement_kind::kPrepare:
    case statement_kind::kDeallocate:
      return session_state_.Apply(query)
                 ? session_decision()
                 : Reject(failure_code::kUnknownStatement,
                          "no prepared statement has this name");
    case statement_kind::kBegin:
    case statement_kind::kBeginReadOnly:
      return is_open ? Reject(failure_code::kMalformed,
                              "not a statement of an open transaction")
                     : Proceed(session_action::kOpen);
    case statement_kind::kCommit:
    case statement_kind::kRollback:
      if (!is_open) {
        return Reject(failure_code::kMalformed, "no transaction is open");
      }
      return Proceed(query.kind == statement_kind::kCommit
                         ? session_action::kRunInTransaction
                         : session_action::kRollBack);
    case statement_kind::kRead:
    case statement_kind::kWrite:
    case statement_kind::kExecute:
      return DecideRun(query);
    default:
      return Reject(failure_code::kMalformed, "unknown statement");
  }
}

session_decision session_engine::DecideRun(const statement& query) const {
  statement_kind kind = query.kind;
  if (kind == statement_kind::kExecute) {
    const prepared_statement* const prepared =
        session_state_.FindPrepared(query.name);
    if (prepared == nullptr) {
      return Reject(failure_code::kUnknownStatement,
                    "no prepared statement has this name");
    }
    kind = prepared->runs;
  }
  return Proceed(state_ == transaction_state::kOpen
                     ? session_action::kRunInTransaction
                     : session_action::kRunStandalone,
                 !ChangesNoData(kind));
}

void session_engine::OnTransactionOpened(bool may_have_written) noexcept {
  state_ = transaction_state::kOpen;
  may_have_written_ = may_have_written;
}

void session_engine::OnTransactionFailed() noexcept {
  if (state_ == transaction_state::kOpen) {
    state_ = transaction_state::kFailed;
  }
}

void session_engine::OnTransactionEnded() noexcept {
  state_ = transaction_state::kIdle;
  may_have_written_ = false;
}

failure_code session_engine::FailureOnConnectionLoss(bool ends) const noexcept {
  return ends && may_have_written_ ? failure_code::kInDoubt
                                   : failure_code::kAborted;
}

}  // namespace sassafraswick
