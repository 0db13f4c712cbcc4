#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/log_point.h"
#include "standin/sql.h"

/// @file
/// In-memory tables with transactions that leave physical log entries.

namespace standin {

/// Rows sort by numeric value where the key is a number.
struct row_key {
  std::int64_t number = 0;
  std::string text;

  friend auto operator<=>(const row_key&, const row_key&) = default;
};

enum class change_type : std::uint8_t { kCreate, kDrop, kPut, kErase };

/// One physical change of a log entry.
struct change {
  change_type type = change_type::kPut;
  std::string table;
  row_key key;
  row values;
  std::vector<column> columns;
};

/// What one committed transaction left behind.
struct log_entry {
  sassafraswick::term_number term = 0;
  std::vector<change> changes;
};

/// SQLSTATE and text of a failed statement.
struct sql_error {
  std::string code;
  std::string message;
};

/// What a statement returned.
struct sql_result {
  std::vector<column> columns;
  std::vector<row> rows;
  std::string tag;
  std::optional<sql_error> failure;
};

/// Changes of one open transaction, invisible to others.
struct transaction {
  std::map<std::string, std::map<row_key, std::optional<row>>> overlay;
  std::vector<change> schema_changes;
};

/// Committed tables and the open transactions' claims on rows.
class engine {
 public:
  /// Runs one data statement inside a transaction.
  /// @param parsed Statement with its parameters.
  /// @param parameters Values of `$1`, `$2`, ...
  /// @param open Transaction that takes the changes.
  [[nodiscard]] sql_result Execute(const statement& parsed,
                                   const std::vector<cell>& parameters,
                                   transaction& txn);

  /// Describes the columns a statement will return.
  [[nodiscard]] std::vector<column> Describe(const statement& parsed) const;

  /// Turns a transaction into a log entry and frees its claims. The entry must
  /// be applied next.
  [[nodiscard]] std::optional<log_entry> Commit(transaction& txn);

  /// Frees a transaction's claims.
  void Rollback(transaction& txn);

  /// Applies a committed entry.
  void Apply(const log_entry& entry);

  /// Forgets all tables.
  void Clear() { tables_.clear(); }

 private:
  struct table {
    std::vector<column> columns;
    std::map<row_key, row> rows;
    std::int64_t next_row = 1;
  };

  [[nodiscard]] const table* FindTable(const std::string& name) const;
  [[nodiscard]] std::map<row_key, row> VisibleRows(
      const std::string& name, const table& found, const transaction& txn,
      const std::optional<assignment>& where,
      const std::vector<cell>& parameters) const;
  [[nodiscard]] std::optional<sql_error> LockRow(const std::string& name,
                                                 const row_key& key,
                                                 const transaction& txn);
  sql_result Insert(const statement& parsed,
                    const std::vector<cell>& parameters, transaction& txn);
  sql_result Update(const statement& parsed,
                    const std::vector<cell>& parameters, transaction& txn);
  sql_result Delete(const statement& parsed,
                    const std::vector<cell>& parameters, transaction& txn);
  sql_result Select(const statement& parsed,
                    const std::vector<cell>& parameters,
                    const transaction& txn) const;

  std::map<std::string, table> tables_;
  std::map<std::string, std::map<row_key, const transaction*>> row_locks_;
  std::int64_t next_row_ = 1;
};

}  // namespace standin

#endif  // STANDIN_ENGINE_H_
