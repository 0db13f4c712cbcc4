#ifndef STANDIN_SQL_H_
#define STANDIN_SQL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"

/// @file
/// Parser of the small SQL subset that the simulated instances support.

namespace standin {

/// A column value; empty for NULL.
using cell = std::optional<std::string>;
using row = std::vector<cell>;

/// A literal or a `$n` parameter.
struct operand {
  cell literal;
  /// Parameter number from 1; 0 means `literal`.
  std::size_t parameter = 0;
};

enum class column_type : std::uint8_t { kBigint, kText };

struct column {
  std::string name;
  column_type type = column_type::kText;
  bool primary_key = false;
};

struct assignment {
  std::string column;
  operand value;
};

enum class statement_type : std::uint8_t {
  kEmpty,
  kCreateTable,
  kDropTable,
  kInsert,
  kUpdate,
  kDelete,
  kSelect,
  /// SELECT of literals, without FROM.
  kSelectValues,
  /// SELECT of one function call, without FROM.
  kSelectFunction,
  kBegin,
  kCommit,
  kRollback,
  kSet,
  kShow,
  kDiscard,
};

/// A parsed statement; `type` determines which other members are set.
struct statement {
  statement_type type = statement_type::kEmpty;
  /// Table, function or parameter name.
  std::string name;
  std::vector<column> columns;
  /// Selected or inserted column names; empty means all.
  std::vector<std::string> column_names;
  bool count_rows = false;
  bool if_exists_clause = false;
  bool read_only = false;
  std::vector<std::vector<operand>> rows;
  std::vector<assignment> assignments;
  std::optional<assignment> where;
};

/// Parses the statements of one simple query.
/// @return The statements, or an error that quotes the unexpected token.
[[nodiscard]] sassafraswick::result<std::vector<statement>> ParseSql(
    std::string_view sql);

}  // namespace standin

#endif  // STANDIN_SQL_H_
