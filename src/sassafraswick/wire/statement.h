#ifndef SASSAFRASWICK_WIRE_STATEMENT_H_
#define SASSAFRASWICK_WIRE_STATEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Conservative classification of SQL text by its first keywords. There is no
/// SQL parser: whatever is not known to be harmless counts as a write.

namespace sassafraswick {

enum class statement_kind : std::uint8_t {
  /// Nothing but blanks and comments.
  kEmpty,
  /// May be tried on a replica.
  kRead,
  /// Anything that may change data or the session.
  kWrite,
  kBegin,
  kBeginReadOnly,
  /// COMMIT, END, ROLLBACK, ABORT.
  kEnd,
  /// SET of a parameter that belongs to the caller's session.
  kSet,
  /// SET or SHOW of a `sassafraswick.` parameter, answered by the proxy.
  kProxySet,
  kProxyShow,
  /// Needs a connection of its own, which transaction pooling cannot give.
  kUnsupported,
};

/// What the first keywords of a statement say.
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
