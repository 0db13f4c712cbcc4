#ifndef SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
#define SASSAFRASWICK_SESSION_SESSION_ENGINE_H_

#include <cstdint>
#include <string>

#include "sassafraswick/session/session_state.h"
#include "sassafraswick/session/statement.h"

/// @file
/// Protocol-independent handling of a caller's statements: transactions and
/// their failed state, pinned connections, session variables and prepared
/// statements. The engine performs no I/O; the sessions of each protocol
/// execute its decisions.

namespace sassafraswick {

/// Which side responds to `BEGIN` and statements that change only the session.
enum class response_policy : std::uint8_t {
  /// This host. A target receives the changes with the next statement that
  /// runs.
  kHost,
  /// A target, whose own response is relayed to the caller.
  kTarget,
};

enum class session_action : std::uint8_t {
  /// Send the decision's response to the caller without running anything.
  kRespond,
  /// Set or show a parameter of the proxy.
  kProxyParameter,
  /// Open a transaction; its target is chosen later.
  kOpen,
  /// Run as an independent operation on any suitable target.
  kRunStandalone,
  /// Run on the connection that is pinned to the transaction.
  kRunInTransaction,
  /// Roll back the transaction and send the decision's response.
  kRollBack,
};

struct session_decision {
  session_action action = session_action::kRespond;
  /// The statement may change data.
  bool writes = false;
  statement_result response;
};

/// One caller's session.
class session_engine {
 public:
  session_engine(session_number number, response_policy policy) noexcept
      : session_state_(number), policy_(policy) {}

  /// Determines the action for a statement. Changes of the session to which
  /// this host responds are applied at once. A rejected statement sets an open
  /// transaction to failed.
  [[nodiscard]] session_decision Decide(const statement& query);

  /// Records that a transaction was opened.
  /// @param may_have_written Its first statement may have changed data.
  void OnTransactionOpened(bool may_have_written) noexcept;
  /// Records that a statement that may change data is sent in the transaction.
  void OnWrite() noexcept { may_have_written_ = true; }
  /// Records that the transaction was rolled back; the caller still has to end
  /// it. Has no effect outside a transaction.
  void OnTransactionFailed() noexcept;
  /// Records that the transaction ended.
  void OnTransactionEnded() noexcept;

  /// Returns the failure to report if the pinned connection is lost.
  /// @param ends The statement without a response may have committed the
  /// transaction.
  [[nodiscard]] failure_code FailureOnConnectionLoss(bool ends) const noexcept;

  [[nodiscard]] transaction_state State() const noexcept { return state_; }
  /// Returns whether the transaction may have changed data.
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
  response_policy policy_;
  transaction_state state_ = transaction_state::kIdle;
  bool may_have_written_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
