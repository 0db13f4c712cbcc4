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
/// In-memory tables with transactions, which produce physical log entries for
/// replication.

namespace standin {

/// Primary key of a row. Numeric keys sort by value; `text` is set only for
/// other keys.
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

/// The changes of one committed transaction.
struct log_entry {
  sassafraswick::term_number term = 0;
  std::vector<change> changes;
};

/// SQLSTATE and message of a failed statement.
struct sql_error {
  std::string code;
  std::string message;
};

/// Result of a statement: rows and command tag, or an error.
struct sql_result {
  std::vector<column> columns;
  std::vector<row> rows;
  std::string tag;
  std::optional<sql_error> failure;
};

/// Uncommitted changes of one transaction, visible only to it. In `overlay`, an
/// empty optional marks a deleted row.
struct transaction {
  std::map<std::string, std::map<row_key, std::optional<row>>> overlay;
  std::vector<change> schema_changes;
};

/// Committed tables and the row locks of open transactions. A transaction that
/// needs a row locked by another fails at once (SQLSTATE 40001) instead of
/// waiting.
class engine {
 public:
  /// Runs one data or schema statement inside a transaction.
  /// @param parsed Statement with its parameters.
  /// @param parameters Values of `$1`, `$2`, ...
  /// @param txn Transaction that collects the changes.
  [[nodiscard]] sql_result Execute(const statement& parsed,
                                   const std::vector<cell>& parameters,
                                   transaction& txn);

  /// Returns the columns of the statement's result, without running it.
  [[nodiscard]] std::vector<column> Describe(const statement& parsed) const;

  /// Turns a transaction into a log entry and releases its row locks. The
  /// caller must pass the entry to `Apply` before it runs another statement.
  /// @return Empty if the transaction changed nothing.
  [[nodiscard]] std::optional<log_entry> Commit(transaction& txn);

  /// Discards a transaction's changes and releases its row locks.
  void Rollback(transaction& txn);

  /// Applies a committed entry.
  void Apply(const log_entry& entry);

  /// Drops all tables.
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
