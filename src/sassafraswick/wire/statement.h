#ifndef SASSAFRASWICK_WIRE_STATEMENT_H_
#define SASSAFRASWICK_WIRE_STATEMENT_H_

#include <string>
#include <string_view>

#include "sassafraswick/session/statement.h"

/// @file
/// Conservative classification of SQL text by its first keywords, without an
/// SQL parser: a statement that is not known to be read-only counts as a write.

namespace sassafraswick {

/// Class of a statement. END counts as COMMIT, ABORT as ROLLBACK, and any
/// statement that may change data or the session as a write.
struct statement_class {
  statement_kind kind = statement_kind::kWrite;
  /// Parameter name of SET and SHOW in lower case; for `kUnsupported`, the
  /// unsupported feature.
  std::string name;
  /// Parameter value of SET.
  std::string value;
};

/// Classifies SQL text.
/// @param sql Text as sent by the caller; may hold several statements.
[[nodiscard]] statement_class ClassifyStatement(std::string_view sql);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_STATEMENT_H_
