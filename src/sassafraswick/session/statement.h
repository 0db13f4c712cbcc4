#ifndef SASSAFRASWICK_SESSION_STATEMENT_H_
#define SASSAFRASWICK_SESSION_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/log_point.h"

/// @file
/// Statements and their results as the session engine sees them. The text of a
/// statement is opaque here; a codec reads and writes the bytes of a protocol.

namespace sassafraswick {

enum class statement_kind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  /// Sets a value of the session.
  kSet,
  kPrepare,
  /// Runs a prepared statement.
  kExecute,
  kDeallocate,
  /// Nothing but blanks and comments.
  kEmpty,
  /// Sets or shows a parameter of this product.
  kSetProxyParameter,
  kShowProxyParameter,
  /// Needs a connection of its own, which pooling cannot give.
  kUnsupported,
  /// Not a statement of the protocol.
  kUnknown,
};

/// One statement of a caller.
struct statement {
  /// Identifier chosen by the caller; returned in logs and sent to targets.
  std::string id;
  statement_kind kind = statement_kind::kUnknown;
  /// Name of the value or prepared statement, if the kind has one.
  std::string name;
  /// For `kPrepare`: the kind of the prepared statement.
  statement_kind prepares = statement_kind::kUnknown;
  /// The statement as it is sent to a target.
  std::string text;
};

/// Why a statement did not succeed.
enum class failure_code : std::uint8_t {
  kNone,
  kBusy,
  /// The target's log lacks the position that was asked for.
  kLagging,
  kReadOnly,
  /// Another instance or database answers at the target's address.
  kMisrouted,
  kTooManyConnections,
  /// The target ran the statement and failed.
  kStatementFailed,
  kTimeout,
  kUnknownStatement,
  kNotAuthorised,
  kUnknownDatabase,
  kTooLarge,
  kMalformed,
  /// The statement needs what pooled connections cannot give.
  kUnsupported,
  /// The transaction has failed and has to be ended first.
  kTransactionFailed,
  /// The transaction was rolled back.
  kAborted,
  /// The outcome is unknown.
  kInDoubt,
  /// The connection to the target ended or stayed silent.
  kNoAnswer,
};

/// Name of a failure in logs and metrics.
[[nodiscard]] std::string_view FailureName(failure_code code) noexcept;

enum class transaction_state : std::uint8_t { kIdle, kOpen, kFailed };

/// A target's or this host's answer to a statement.
struct statement_result {
  failure_code failure = failure_code::kNone;
  /// Human-readable reason of a failure.
  std::string detail;
  std::vector<std::string> rows;
  /// Proof of the target that it ran the statement; empty if this host answered
  /// by itself.
  std::string signature;
  transaction_state state = transaction_state::kIdle;
  /// End of the target's log that its readers see.
  std::optional<log_point> position;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_STATEMENT_H_
