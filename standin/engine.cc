#include "standin/engine.h"

#include <algorithm>
#include <charconv>

namespace standin {
namespace {

sql_result FailedResult(std::string code, std::string message) {
  sql_result failed;
  failed.failure = sql_error{std::move(code), std::move(message)};
  return failed;
}

sql_result UndefinedTable(const std::string& name) {
  return FailedResult("42P01", "relation \"" + name + "\" does not exist");
}

cell ValueOf(const operand& source, const std::vector<cell>& parameters) {
  if (source.parameter == 0) {
    return source.literal;
  }
  return source.parameter <= parameters.size()
             ? parameters[source.parameter - 1]
             : cell();
}

std::size_t ColumnIndex(const std::vector<column>& columns,
                        const std::string& name) {
  const auto found =
      std::find_if(columns.begin(), columns.end(),
                   [&name](const column& each) { return each.name == name; });
  return static_cast<std::size_t>(found - columns.begin());
}

row_key RowKey(const cell& value) {
  row_key key;
  const std::string text = value.value_or("");
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, key.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    key = {0, text};
  }
  return key;
}

std::optional<std::size_t> PrimaryKeyIndex(const std::vector<column>& columns) {
  const auto found =
      std::find_if(columns.begin(), columns.end(),
                   [](const column& each) { return each.primary_key; });
  if (found == columns.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - columns.begin());
}

}  // namespace

const engine::table* engine::FindTable(const std::string& name) const {
  const auto found = tables_.find(name);
  return found == tables_.end() ? nullptr : &found->second;
}

std::map<row_key, row> engine::VisibleRows(
    const std::string& name, const table& found, const transaction& txn,
    const std::optional<assignment>& where,
    const std::vector<cell>& parameters) const {
  std::map<row_key, row> visible;
  std::size_t where_index = found.columns.size();
  cell expected;
  if (where.has_value()) {
    where_index = ColumnIndex(found.columns, where->column);
    expected = ValueOf(where->value, parameters);
  }
  const auto matches = [&](const row& values) {
    return !where.has_value() ||
           (where_index < values.size() && expected.has_value() &&
            values[where_index] == expected);
  };
  const std::optional<std::size_t> key_index = PrimaryKeyIndex(found.columns);
  if (where.has_value() && key_index == where_index) {
    const auto by_key = found.rows.find(RowKey(expected));
    if (by_key != found.rows.end() && matches(by_key->second)) {
      visible.insert(*by_key);
    }
  } else {
    std::copy_if(found.rows.begin(), found.rows.end(),
                 std::inserter(visible, visible.end()),
                 [&](const std::pair<const row_key, row>& entry) {
                   return matches(entry.second);
                 });
  }
  const auto overlay = txn.overlay.find(name);
  if (overlay != txn.overlay.end()) {
    for (const std::pair<const row_key, std::optional<row>>& entry :
         overlay->second) {
      visible.erase(entry.first);
      if (entry.second.has_value() && matches(*entry.second)) {
        visible[entry.first] = *entry.second;
      }
    }
  }
  return visible;
}

std::optional<sql_error> engine::LockRow(const std::string& name,
                                         const row_key& key,
                                         const transaction& txn) {
  const transaction*& holder = row_locks_[name][key];
  if (holder != nullptr && holder != &txn) {
    return sql_error{
        "40001", "row of \"" + name + "\" is locked by another transaction"};
  }
  holder = &txn;
  return std::nullopt;
}

sql_result engine::Insert(const statement& parsed,
                          const std::vector<cell>& parameters,
                          transaction& txn) {
  const table* const found = FindTable(parsed.name);
  if (found == nullptr) {
    return UndefinedTable(parsed.name);
  }
  const std::optional<std::size_t> key_index = PrimaryKeyIndex(found->columns);
  for (const std::vector<operand>& values : parsed.rows) {
    row inserted(found->columns.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
      const std::size_t index =
          parsed.column_names.empty()
              ? i
              : ColumnIndex(found->columns, parsed.column_names[i]);
      if (index >= inserted.size()) {
        return FailedResult("42703",
                            "INSERT names a column that does not exist");
      }
      inserted[index] = ValueOf(values[i], parameters);
    }
    const row_key key = key_index.has_value() ? RowKey(inserted[*key_index])
                                              : row_key{next_row_++, ""};
    std::map<row_key, std::optional<row>>& overlay = txn.overlay[parsed.name];
    const auto pending = overlay.find(key);
    const bool exists = pending != overlay.end() ? pending->second.has_value()
                                                 : found->rows.contains(key);
    if (exists) {
      return FailedResult("23505",
                          "duplicate key value violates unique constraint \"" +
                              parsed.name + "_pkey\"");
    }
    std::optional<sql_error> lock_error = LockRow(parsed.name, key, txn);
    if (lock_error.has_value()) {
      return {{}, {}, "", std::move(lock_error)};
    }
    overlay[key] = std::move(inserted);
  }
  return {{}, {}, "INSERT 0 " + std::to_string(parsed.rows.size()), {}};
}

sql_result engine::Update(const statement& parsed,
                          const std::vector<cell>& parameters,
                          transaction& txn) {
  const table* const found = FindTable(parsed.name);
  if (found == nullptr) {
    return UndefinedTable(parsed.name);
  }
  std::map<row_key, row> matching =
      VisibleRows(parsed.name, *found, txn, parsed.where, parameters);
  for (std::pair<const row_key, row>& entry : matching) {
    std::optional<sql_error> lock_error =
        LockRow(parsed.name, entry.first, txn);
    if (lock_error.has_value()) {
      return {{}, {}, "", std::move(lock_error)};
    }
    for (const assignment& each : parsed.assignments) {
      const std::size_t index = ColumnIndex(found->columns, each.column);
      if (index >= entry.second.size()) {
        return FailedResult("42703",
                            "column \"" + each.column + "\" does not exist");
      }
      entry.second[index] = ValueOf(each.value, parameters);
    }
    txn.overlay[parsed.name][entry.first] = entry.second;
  }
  return {{}, {}, "UPDATE " + std::to_string(matching.size()), {}};
}

sql_result engine::Delete(const statement& parsed,
                          const std::vector<cell>& parameters,
                          transaction& txn) {
  const table* const found = FindTable(parsed.name);
  if (found == nullptr) {
    return UndefinedTable(parsed.name);
  }
  const std::map<row_key, row> matching =
      VisibleRows(parsed.name, *found, txn, parsed.where, parameters);
  for (const std::pair<const row_key, row>& entry : matching) {
    std::optional<sql_error> lock_error =
        LockRow(parsed.name, entry.first, txn);
    if (lock_error.has_value()) {
      return {{}, {}, "", std::move(lock_error)};
    }
    txn.overlay[parsed.name][entry.first] = std::nullopt;
  }
  return {{}, {}, "DELETE " + std::to_string(matching.size()), {}};
}

sql_result engine::Select(const statement& parsed,
                          const std::vector<cell>& parameters,
                          const transaction& txn) const {
  const table* const found = FindTable(parsed.name);
  if (found == nullptr) {
    return UndefinedTable(parsed.name);
  }
  const std::map<row_key, row> matching =
      VisibleRows(parsed.name, *found, txn, parsed.where, parameters);
  sql_result selected;
  selected.columns = Describe(parsed);
  if (parsed.count_rows) {
    selected.rows.push_back({std::to_string(matching.size())});
  } else {
    for (const std::pair<const row_key, row>& entry : matching) {
      row values;
      for (const column& each : selected.columns) {
        const std::size_t index = ColumnIndex(found->columns, each.name);
        if (index >= entry.second.size()) {
          return FailedResult("42703",
                              "column \"" + each.name + "\" does not exist");
        }
        values.push_back(entry.second[index]);
      }
      selected.rows.push_back(std::move(values));
    }
  }
  selected.tag = "SELECT " + std::to_string(selected.rows.size());
  return selected;
}

std::vector<column> engine::Describe(const statement& parsed) const {
  std::vector<column> columns;
  if (parsed.type == statement_type::kSelectValues) {
    columns.resize(parsed.rows.front().size(), {"?column?"});
    return columns;
  }
  if (parsed.type == statement_type::kSelectFunction ||
      parsed.type == statement_type::kShow) {
    return {{parsed.name}};
  }
  if (parsed.type != statement_type::kSelect) {
    return columns;
  }
  if (parsed.count_rows) {
    return {{"count", column_type::kBigint}};
  }
  const auto found = tables_.find(parsed.name);
  if (found == tables_.end() || parsed.column_names.empty()) {
    return found == tables_.end() ? columns : found->second.columns;
  }
  for (const std::string& name : parsed.column_names) {
    const std::size_t index = ColumnIndex(found->second.columns, name);
    columns.push_back(index < found->second.columns.size()
                          ? found->second.columns[index]
                          : column{name});
  }
  return columns;
}

sql_result engine::Execute(const statement& parsed,
                           const std::vector<cell>& parameters,
                           transaction& txn) {
  switch (parsed.type) {
    case statement_type::kInsert:
      return Insert(parsed, parameters, txn);
    case statement_type::kUpdate:
      return Update(parsed, parameters, txn);
    case statement_type::kDelete:
      return Delete(parsed, parameters, txn);
    case statement_type::kSelect:
      return Select(parsed, parameters, txn);
    case statement_type::kSelectValues: {
      sql_result selected;
      selected.columns = Describe(parsed);
      row values;
      for (const operand& each : parsed.rows.front()) {
        values.push_back(ValueOf(each, parameters));
      }
      selected.rows.push_back(std::move(values));
      selected.tag = "SELECT 1";
      return selected;
    }
    case statement_type::kCreateTable:
      if (tables_.contains(parsed.name)) {
        if (parsed.if_exists_clause) {
          return {{}, {}, "CREATE TABLE", {}};
        }
        return FailedResult("42P07",
                            "relation \"" + parsed.name + "\" already exists");
      }
      txn.schema_changes.push_back(
          {change_type::kCreate, parsed.name, {}, {}, parsed.columns});
      return {{}, {}, "CREATE TABLE", {}};
    case statement_type::kDropTable:
      if (!tables_.contains(parsed.name) && !parsed.if_exists_clause) {
        return UndefinedTable(parsed.name);
      }
      txn.schema_changes.push_back(
          {change_type::kDrop, parsed.name, {}, {}, {}});
      return {{}, {}, "DROP TABLE", {}};
    default:
      return FailedResult("0A000", "statement is not supported");
  }
}

std::optional<log_entry> engine::Commit(transaction& txn) {
  log_entry entry;
  entry.changes = txn.schema_changes;
  for (const std::pair<const std::string,
                       std::map<row_key, std::optional<row>>>& overlay :
       txn.overlay) {
    for (const std::pair<const row_key, std::optional<row>>& row_change :
         overlay.second) {
      const bool is_put = row_change.second.has_value();
      entry.changes.push_back({is_put ? change_type::kPut : change_type::kErase,
                               overlay.first,
                               row_change.first,
                               row_change.second.value_or(row()),
                               {}});
    }
  }
  Rollback(txn);
  if (entry.changes.empty()) {
    return std::nullopt;
  }
  return entry;
}

void engine::Rollback(transaction& txn) {
  for (const std::pair<const std::string,
                       std::map<row_key, std::optional<row>>>& overlay :
       txn.overlay) {
    std::map<row_key, const transaction*>& locks = row_locks_[overlay.first];
    std::erase_if(
        locks,
        [&txn](const std::pair<const row_key, const transaction*>& lock) {
          return lock.second == &txn;
        });
  }
  txn.overlay.clear();
  txn.schema_changes.clear();
}

void engine::Apply(const log_entry& entry) {
  for (const change& each : entry.changes) {
    switch (each.type) {
      case change_type::kCreate:
        tables_[each.table].columns = each.columns;
        break;
      case change_type::kDrop:
        tables_.erase(each.table);
        break;
      case change_type::kPut:
        tables_[each.table].rows[each.key] = each.values;
        next_row_ = std::max(next_row_, each.key.number + 1);
        break;
      case change_type::kErase:
        tables_[each.table].rows.erase(each.key);
        break;
    }
  }
}

}  // namespace standin
