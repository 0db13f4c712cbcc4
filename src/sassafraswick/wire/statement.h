#ifndef SASSAFRASWICK_WIRE_STATEMENT_H_
#define SASSAFRASWICK_WIRE_STATEMENT_H_

#include <string>
#include <string_view>

#include "sassafraswick/session/statement.h"

/// @file
/// Conservative classification of SQL text by its first keywords. There is no
/// SQL parser: whatever is not known to be harmless counts as a write.

namespace sassafraswick {

/// What the first keywords of a statement say. END counts as COMMIT, ABORT as
/// ROLLBACK; anything that may change data or the session as a write.
struct statement_class {
  statement_kind kind = statement_kind::kWrite;
  /// Parameter name of SET and SHOW in lower case; for `kUnsupported`, what is
  /// not supported.
  std::string name;
  /// Parameter value of SET.
  std::string value;
};

/// Classifies SQL text.
/// @param sql Statement text as the caller sent it.
[[nodiscard]] statement_class ClassifyStatement(std::string_view sql);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_STATEMENT_H_
