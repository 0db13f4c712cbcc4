#ifndef SASSAFRASWICK_SESSION_STATEMENT_H_
#define SASSAFRASWICK_SESSION_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/log_point.h"

/// @file
/// Protocol-independent statements and results. The text of a statement is
/// opaque to the session engine; a codec encodes and decodes it.

namespace sassafraswick {

enum class statement_kind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  /// Sets a session variable.
  kSet,
  kPrepare,
  /// Runs a prepared statement.
  kExecute,
  kDeallocate,
  /// Contains only white space and comments.
  kEmpty,
  /// Sets or shows a parameter of the proxy.
  kSetProxyParameter,
  kShowProxyParameter,
  /// Needs a dedicated connection, which pooling does not provide.
  kUnsupported,
  /// Not a valid statement of the protocol.
  kUnknown,
};

/// A caller's statement.
struct statement {
  /// Identifier chosen by the caller; logged and sent to targets.
  std::string id;
  statement_kind kind = statement_kind::kUnknown;
  /// Name of the variable or prepared statement, if any.
  std::string name;
  /// For `kPrepare`: the kind of the prepared statement.
  statement_kind prepares = statement_kind::kUnknown;
  /// Statement text in the form that is sent to a target.
  std::string text;
};

/// Reason for the failure of a statement.
enum class failure_code : std::uint8_t {
  kNone,
  kBusy,
  /// The target's log has not reached the required position.
  kLagging,
  kReadOnly,
  /// Another instance or database responded at the target's address.
  kMisrouted,
  kTooManyConnections,
  /// The target ran the statement, which failed.
  kStatementFailed,
  kTimeout,
  kUnknownStatement,
  kNotAuthorised,
  kUnknownDatabase,
  kTooLarge,
  kMalformed,
  /// The statement is not supported over pooled connections.
  kUnsupported,
  /// The transaction has failed; the caller must end it first.
  kTransactionFailed,
  /// The transaction was rolled back.
  kAborted,
  /// The outcome is unknown.
  kInDoubt,
  /// The connection to the target was closed, or no response arrived in time.
  kNoAnswer,
};

/// Returns the name of a failure in logs and metrics.
[[nodiscard]] std::string_view FailureName(failure_code code) noexcept;

enum class transaction_state : std::uint8_t { kIdle, kOpen, kFailed };

/// Response of a target or this host to a statement.
struct statement_result {
  failure_code failure = failure_code::kNone;
  /// Human-readable reason of a failure.
  std::string detail;
  std::vector<std::string> rows;
  /// Target's proof that it ran the statement; empty if this host responded.
  std::string signature;
  transaction_state state = transaction_state::kIdle;
  /// Log position up to which the target's data is visible to readers.
  std::optional<log_point> position;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_STATEMENT_H_
