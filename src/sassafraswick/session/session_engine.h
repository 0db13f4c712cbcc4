#ifndef SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
#define SASSAFRASWICK_SESSION_SESSION_ENGINE_H_

#include <cstdint>
#include <string>

#include "sassafraswick/session/session_state.h"
#include "sassafraswick/session/statement.h"

/// @file
/// What every caller's session does with a statement, whatever its protocol:
/// transactions, their failed state, pinned connections, values and prepared
/// names. Pure: the sessions of each protocol carry out what it decides.

namespace sassafraswick {

/// Who answers statements that change only the session, and `BEGIN`.
enum class answer_policy : std::uint8_t {
  /// This host. Targets learn of them with the next statement that runs.
  kHost,
  /// A target: the caller sees the target's own answer.
  kTarget,
};

enum class session_action : std::uint8_t {
  /// Nothing runs; the decision's answer goes to the caller.
  kAnswer,
  /// A parameter of this product is set or shown.
  kProxyParameter,
  /// Open a transaction that has no target yet.
  kOpen,
  /// Run as an operation of its own, on any suitable target.
  kRunStandalone,
  /// Run on the connection to which the transaction is pinned.
  kRunInTransaction,
  /// Roll the transaction back and give the decision's answer.
  kRollBack,
};

struct session_decision {
  session_action action = session_action::kAnswer;
  /// The statement may change data.
  bool writes = false;
  statement_result answer;
};

/// One caller's session.
class session_engine {
 public:
  session_engine(session_number number, answer_policy policy) noexcept
      : session_state_(number), policy_(policy) {}

  /// Decides what to do with a statement. Changes of the session that this
  /// host answers are taken over at once; a refused statement fails an open
  /// transaction.
  [[nodiscard]] session_decision Decide(const statement& query);

  /// A transaction was opened.
  /// @param wrote Its first statement may have changed data.
  void OnTransactionOpened(bool may_have_written) noexcept;
  /// A statement that may change data is sent in the transaction.
  void OnWrite() noexcept { may_have_written_ = true; }
  /// The transaction was rolled back; the caller has yet to end it. Without
  /// effect outside a transaction.
  void OnTransactionFailed() noexcept;
  /// The transaction ended.
  void OnTransactionEnded() noexcept;

  /// What the caller is told when the pinned connection is lost.
  /// @param ends The statement that got no answer may have committed.
  [[nodiscard]] failure_code FailureOnConnectionLoss(bool ends) const noexcept;

  [[nodiscard]] transaction_state State() const noexcept { return state_; }
  /// The transaction may have changed data.
  [[nodiscard]] bool MayHaveWritten() const noexcept {
    return may_have_written_;
  }
  [[nodiscard]] session_state& SessionState() noexcept {
    return session_state_;
  }
  [[nodiscard]] const session_state& SessionState() const noexcept {
    return session_state_;
  }

 private:
  [[nodiscard]] session_decision DecideFailed(const statement& query) const;
  [[nodiscard]] session_decision DecideLocally(const statement& query);
  [[nodiscard]] session_decision DecideRun(const statement& query) const;

  session_state session_state_;
  answer_policy policy_;
  transaction_state state_ = transaction_state::kIdle;
  bool may_have_written_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
