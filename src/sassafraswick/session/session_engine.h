#ifndef SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
#define SASSAFRASWICK_SESSION_SESSION_ENGINE_H_

#include <cstdint>
#include <string>

#include "sassafraswick/session/session_memory.h"
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

enum class session_step : std::uint8_t {
  /// Nothing runs; the decision's answer goes to the caller.
  kAnswer,
  /// A parameter of this product is set or shown.
  kOwnParameter,
  /// Open a transaction that has no target yet.
  kOpen,
  /// Run as an operation of its own, on any suitable target.
  kRunSingle,
  /// Run on the connection to which the transaction is pinned.
  kRunInside,
  /// Roll the transaction back and give the decision's answer.
  kDrop,
};

struct session_decision {
  session_step step = session_step::kAnswer;
  /// The statement may change data.
  bool writes = false;
  statement_result answer;
};

/// One caller's session.
class session_engine {
 public:
  session_engine(session_number number, answer_policy policy) noexcept
      : memory_(number), policy_(policy) {}

  /// Decides what to do with a statement. Changes of the session that this
  /// host answers are taken over at once; a refused statement fails an open
  /// transaction.
  [[nodiscard]] session_decision Decide(const statement& query);

  /// A transaction was opened.
  /// @param wrote Its first statement may have changed data.
  void NoteOpened(bool wrote) noexcept;
  /// A statement that may change data is sent in the transaction.
  void NoteWrite() noexcept { wrote_ = true; }
  /// The transaction was rolled back; the caller has yet to end it. Without
  /// effect outside a transaction.
  void NoteFailed() noexcept;
  /// The transaction ended.
  void NoteEnded() noexcept;

  /// What the caller is told when the pinned connection is lost.
  /// @param ends The statement that got no answer may have committed.
  [[nodiscard]] failure_code OutcomeOfLoss(bool ends) const noexcept;

  [[nodiscard]] transaction_state State() const noexcept { return state_; }
  /// The transaction may have changed data.
  [[nodiscard]] bool Wrote() const noexcept { return wrote_; }
  [[nodiscard]] session_memory& Memory() noexcept { return memory_; }
  [[nodiscard]] const session_memory& Memory() const noexcept {
    return memory_;
  }

 private:
  [[nodiscard]] session_decision DecideFailed(const statement& query) const;
  [[nodiscard]] session_decision DecideHere(const statement& query);
  [[nodiscard]] session_decision DecideRun(const statement& query) const;

  session_memory memory_;
  answer_policy policy_;
  transaction_state state_ = transaction_state::kIdle;
  bool wrote_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_ENGINE_H_
