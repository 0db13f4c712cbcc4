#include "sassafraswick/session/statement.h"

namespace sassafraswick {

std::string_view FailureName(failure_code code) noexcept {
  switch (code) {
    case failure_code::kNone:
      return "none";
    case failure_code::kBusy:
      return "busy";
    case failure_code::kLagging:
      return "lagging";
    case failure_code::kReadOnly:
      return "read_only";
    case failure_code::kMisrouted:
      return "misrouted";
    case failure_code::kTooManyConnections:
      return "too_many_connections";
    case failure_code::kStatementFailed:
      return "statement_failed";
    case failure_code::kTimeout:
      return "timeout";
    case failure_code::kUnknownStatement:
      return "unknown_statement";
    case failure_code::kNotAuthorised:
      return "not_authorised";
    case failure_code::kUnknownDatabase:
      return "unknown_database";
    case failure_code::kTooLarge:
      return "too_large";
    case failure_code::kMalformed:
      return "malformed";
    case failure_code::kUnsupported:
      return "unsupported";
    case failure_code::kTransactionFailed:
      return "transaction_failed";
    case failure_code::kAborted:
      return "aborted";
    case failure_code::kInDoubt:
      return "in_doubt";
    case failure_code::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace sassafraswick
