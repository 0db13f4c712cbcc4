#include "sassafraswick/wire/statement.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <vector>

namespace sassafraswick {
namespace {

constexpr std::string_view kProxyParameterPrefix = "sassafraswick.";

bool IsWhitespace(char c) noexcept {
  return std::isspace(static_cast<unsigned char>(c)) != 0;
}

bool IsWordByte(char c) noexcept {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
         c == '.';
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

/// Removes leading whitespace and comments.
std::string_view SkipWhitespaceAndComments(std::string_view sql) noexcept {
  while (!sql.empty()) {
    if (IsWhitespace(sql.front())) {
      sql.remove_prefix(1);
    } else if (sql.starts_with("--")) {
      const std::size_t end = sql.find('\n');
      sql.remove_prefix(end == std::string_view::npos ? sql.size() : end + 1);
    } else if (sql.starts_with("/*")) {
      const std::size_t end = sql.find("*/", 2);
      sql.remove_prefix(end == std::string_view::npos ? sql.size() : end + 2);
    } else {
      break;
    }
  }
  return sql;
}

/// Removes the leading word and returns it in lower case.
std::string ConsumeWord(std::string_view& sql) {
  sql = SkipWhitespaceAndComments(sql);
  std::size_t size = 0;
  while (size < sql.size() && IsWordByte(sql[size])) {
    ++size;
  }
  std::string word = ToLower(sql.substr(0, size));
  sql.remove_prefix(size);
  return word;
}

/// Removes the leading quoted or bare value and returns it without quotes.
std::string ConsumeValue(std::string_view& sql) {
  sql = SkipWhitespaceAndComments(sql);
  std::string value;
  if (!sql.starts_with('\'')) {
    std::size_t size = 0;
    while (size < sql.size() && !IsWhitespace(sql[size]) && sql[size] != ';') {
      ++size;
    }
    value = sql.substr(0, size);
    sql.remove_prefix(size);
    return value;
  }
  sql.remove_prefix(1);
  while (!sql.empty()) {
    if (sql.starts_with("''")) {
      value.push_back('\'');
      sql.remove_prefix(2);
    } else if (sql.front() == '\'') {
      sql.remove_prefix(1);
      break;
    } else {
      value.push_back(sql.front());
      sql.remove_prefix(1);
    }
  }
  return value;
}

/// Returns whether text follows the first statement. A semicolon inside a
/// literal counts as well, so the statement may be taken for a write by
/// mistake.
bool HasSecondStatement(std::string_view sql) noexcept {
  const std::size_t semicolon = sql.find(';');
  return semicolon != std::string_view::npos &&
         !SkipWhitespaceAndComments(sql.substr(semicolon + 1)).empty();
}

bool Contains(const std::string& lower_sql, std::string_view word) {
  return lower_sql.find(word) != std::string::npos;
}

std::optional<statement_class> ClassifyUnsupported(
    const std::string& first, const std::string& lower_sql) {
  const bool is_copy_in = first == "copy" && Contains(lower_sql, "stdin");
  if (first == "listen" || first == "unlisten" || is_copy_in) {
    return statement_class{statement_kind::kUnsupported,
                           is_copy_in ? "COPY FROM STDIN" : ToLower(first), ""};
  }
  if (first == "create" &&
      (lower_sql.find("temp ") < sizeof("create temp") ||
       lower_sql.find("temporary ") < sizeof("create temporary"))) {
    return statement_class{statement_kind::kUnsupported, "temporary tables",
                           ""};
  }
  if (Contains(lower_sql, "pg_advisory_lock") ||
      Contains(lower_sql, "pg_try_advisory_lock")) {
    return statement_class{statement_kind::kUnsupported,
                           "session-level advisory locks", ""};
  }
  if (first == "declare" && Contains(lower_sql, "with hold")) {
    return statement_class{statement_kind::kUnsupported, "holdable cursors",
                           ""};
  }
  return std::nullopt;
}

statement_class ClassifySet(std::string_view rest) {
  std::string name = ConsumeWord(rest);
  if (name == "session") {
    name = ConsumeWord(rest);
  }
  if (name == "local" || name == "transaction" || name == "constraints") {
    return {statement_kind::kWrite, "", ""};
  }
  rest = SkipWhitespaceAndComments(rest);
  if (rest.starts_with('=')) {
    rest.remove_prefix(1);
  } else {
    ConsumeWord(rest);  // TO
  }
  std::string value = ConsumeValue(rest);
  const bool for_proxy = name.starts_with(kProxyParameterPrefix);
  return {for_proxy ? statement_kind::kSetProxyParameter : statement_kind::kSet,
          name, std::move(value)};
}

statement_kind ClassifyBegin(const std::string& lower_sql) {
  const bool read_only = Contains(lower_sql, "read only");
  return read_only ? statement_kind::kBeginReadOnly : statement_kind::kBegin;
}

/// Returns whether a SELECT locks rows, stores its result or advances a
/// sequence.
bool SelectWrites(const std::string& lower_sql) {
  constexpr std::array<std::string_view, 6> kWriteMarkers{
      "for update", "for share", "for no key", "for key", " into ", "nextval"};
  return std::any_of(kWriteMarkers.begin(), kWriteMarkers.end(),
                     [&lower_sql](std::string_view word) {
                       return Contains(lower_sql, word);
                     });
}

bool IsOneOf(const std::string& word,
             std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

}  // namespace

statement_class ClassifyStatement(std::string_view sql) {
  std::string_view rest = SkipWhitespaceAndComments(sql);
  const std::string lower_sql = ToLower(rest);
  const std::string first = ConsumeWord(rest);
  if (first.empty() &&
      (rest.empty() || SkipWhitespaceAndComments(rest.substr(1)).empty())) {
    return {statement_kind::kEmpty, "", ""};
  }
  const std::optional<statement_class> unsupported =
      ClassifyUnsupported(first, lower_sql);
  if (unsupported.has_value()) {
    return *unsupported;
  }
  if (HasSecondStatement(sql)) {
    return {statement_kind::kWrite, "", ""};
  }
  if (first == "set") {
    return ClassifySet(rest);
  }
  if (first == "show") {
    const std::string name = ConsumeWord(rest);
    const bool for_proxy = name.starts_with(kProxyParameterPrefix);
    return {
        for_proxy ? statement_kind::kShowProxyParameter : statement_kind::kRead,
        name, ""};
  }
  if (first == "begin" || first == "start") {
    return {ClassifyBegin(lower_sql), "", ""};
  }
  if (IsOneOf(first, {"commit", "end"})) {
    return {statement_kind::kCommit, "", ""};
  }
  if (IsOneOf(first, {"rollback", "abort"})) {
    return {statement_kind::kRollback, "", ""};
  }
  if (IsOneOf(first, {"values", "table"})) {
    return {statement_kind::kRead, "", ""};
  }
  if (first == "select" && !SelectWrites(lower_sql)) {
    return {statement_kind::kRead, "", ""};
  }
  return {statement_kind::kWrite, "", ""};
}

}  // namespace sassafraswick
