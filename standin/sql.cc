#include "standin/sql.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace standin {
namespace {

using sassafraswick::error;
using sassafraswick::error_kind;
using sassafraswick::result;

enum class token_type : std::uint8_t {
  kWord,
  kNumber,
  kString,
  kParameter,
  kSymbol,
  kEnd,
};

struct token {
  token_type type = token_type::kEnd;
  std::string text;
};

bool IsWordByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
         c == '.';
}

bool IsDigit(char c) {
  return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

/// Consumes a quoted string or name, in which a doubled quote is one quote.
std::string ConsumeQuoted(std::string_view& input) {
  const char quote = input.front();
  std::string text;
  std::size_t at = 1;
  while (at < input.size()) {
    if (input[at] == quote) {
      if (at + 1 < input.size() && input[at + 1] == quote) {
        ++at;
      } else {
        break;
      }
    }
    text.push_back(input[at]);
    ++at;
  }
  input.remove_prefix(std::min(at + 1, input.size()));
  return text;
}

std::string ConsumeWhile(std::string_view& input, bool (*accepts)(char)) {
  std::size_t size = 0;
  while (size < input.size() && accepts(input[size])) {
    ++size;
  }
  std::string text(input.substr(0, size));
  input.remove_prefix(size);
  return text;
}

bool IsNumberByte(char c) { return IsDigit(c) || c == '.'; }

token ConsumeToken(std::string_view& input) {
  const char first = input.front();
  if (first == '\'') {
    return {token_type::kString, ConsumeQuoted(input)};
  }
  if (first == '"') {
    return {token_type::kWord, ConsumeQuoted(input)};
  }
  if (first == '$') {
    input.remove_prefix(1);
    return {token_type::kParameter, ConsumeWhile(input, IsDigit)};
  }
  const bool negative = first == '-' && input.size() > 1 && IsDigit(input[1]);
  if (IsDigit(first) || negative) {
    input.remove_prefix(negative ? 1 : 0);
    return {token_type::kNumber,
            (negative ? "-" : "") + ConsumeWhile(input, IsNumberByte)};
  }
  if (IsWordByte(first)) {
    std::string word = ConsumeWhile(input, IsWordByte);
    std::transform(word.begin(), word.end(), word.begin(), [](char c) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return {token_type::kWord, std::move(word)};
  }
  input.remove_prefix(1);
  return {token_type::kSymbol, std::string(1, first)};
}

std::vector<token> Tokenize(std::string_view sql) {
  std::vector<token> tokens;
  while (!sql.empty()) {
    if (std::isspace(static_cast<unsigned char>(sql.front())) != 0) {
      sql.remove_prefix(1);
    } else if (sql.starts_with("--")) {
      sql.remove_prefix(std::min(sql.find('\n'), sql.size()));
    } else {
      tokens.push_back(ConsumeToken(sql));
    }
  }
  tokens.push_back({});
  return tokens;
}

class parser {
 public:
  explicit parser(std::string_view sql) : tokens_(Tokenize(sql)) {}

  result<std::vector<statement>> Parse() {
    std::vector<statement> statements;
    while (Peek().type != token_type::kEnd) {
      if (AcceptSymbol(';')) {
        continue;
      }
      BOOST_OUTCOME_TRY(statement parsed, ParseStatement());
      statements.push_back(std::move(parsed));
      if (Peek().type != token_type::kEnd && !AcceptSymbol(';')) {
        return Unexpected("end of statement");
      }
    }
    return statements;
  }

 private:
  [[nodiscard]] const token& Peek() const { return tokens_[at_]; }

  token Next() {
    token next = tokens_[at_];
    at_ = std::min(at_ + 1, tokens_.size() - 1);
    return next;
  }

  bool AcceptWord(std::string_view word) {
    if (Peek().type == token_type::kWord && Peek().text == word) {
      Next();
      return true;
    }
    return false;
  }

  bool AcceptSymbol(char symbol) {
    if (Peek().type == token_type::kSymbol && Peek().text[0] == symbol) {
      Next();
      return true;
    }
    return false;
  }

  [[nodiscard]] error Unexpected(const std::string& expected) const {
    return sassafraswick::MakeError(error_kind::kProtocol,
                                    "syntax error at or near \"" + Peek().text +
                                        "\": expected " + expected);
  }

  result<void> ExpectSymbol(char symbol) {
    if (!AcceptSymbol(symbol)) {
      return Unexpected(std::string("'") + symbol + "'");
    }
    return boost::outcome_v2::success();
  }

  result<void> ExpectWord(std::string_view word) {
    if (!AcceptWord(word)) {
      return Unexpected(std::string(word));
    }
    return boost::outcome_v2::success();
  }

  result<std::string> ExpectName() {
    if (Peek().type != token_type::kWord) {
      return Unexpected("a name");
    }
    return Next().text;
  }

  result<operand> ParseOperand() {
    const token next = Next();
    switch (next.type) {
      case token_type::kNumber:
      case token_type::kString:
        SkipCast();
        return operand{next.text, 0};
      case token_type::kParameter: {
        std::size_t number = 0;
        std::from_chars(next.text.data(), next.text.data() + next.text.size(),
                        number);
        SkipCast();
        return operand{std::nullopt, number};
      }
      case token_type::kWord:
        if (next.text == "null") {
          return operand{};
        }
        if (next.text == "true" || next.text == "false") {
          return operand{next.text, 0};
        }
        break;
      default:
        break;
    }
    return Unexpected("a value");
  }

  void SkipCast() {
    while (AcceptSymbol(':')) {
      if (Peek().type == token_type::kWord) {
        Next();
      }
    }
  }

  result<std::vector<operand>> ParseOperands() {
    std::vector<operand> values;
    BOOST_OUTCOME_TRY(ExpectSymbol('('));
    while (!AcceptSymbol(')')) {
      BOOST_OUTCOME_TRY(operand value, ParseOperand());
      values.push_back(std::move(value));
      AcceptSymbol(',');
    }
    return values;
  }

  result<assignment> ParseAssignment() {
    assignment parsed;
    BOOST_OUTCOME_TRY(parsed.column, ExpectName());
    BOOST_OUTCOME_TRY(ExpectSymbol('='));
    BOOST_OUTCOME_TRY(parsed.value, ParseOperand());
    return parsed;
  }

  result<void> ParseWhere(statement& parsed) {
    if (AcceptWord("where")) {
      BOOST_OUTCOME_TRY(assignment condition, ParseAssignment());
      parsed.where = std::move(condition);
    }
    return boost::outcome_v2::success();
  }

  result<statement> ParseCreate() {
    statement parsed{.type = statement_type::kCreateTable};
    BOOST_OUTCOME_TRY(ExpectWord("table"));
    if (AcceptWord("if")) {
      BOOST_OUTCOME_TRY(ExpectWord("not"));
      BOOST_OUTCOME_TRY(ExpectWord("exists"));
      parsed.if_exists_clause = true;
    }
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    BOOST_OUTCOME_TRY(ExpectSymbol('('));
    while (!AcceptSymbol(')')) {
      column defined;
      BOOST_OUTCOME_TRY(defined.name, ExpectName());
      BOOST_OUTCOME_TRY(std::string type, ExpectName());
      const bool numeric = type.find("int") != std::string::npos;
      defined.type = numeric ? column_type::kBigint : column_type::kText;
      while (Peek().type == token_type::kWord) {
        defined.primary_key = defined.primary_key || Peek().text == "primary";
        Next();
      }
      parsed.columns.push_back(std::move(defined));
      AcceptSymbol(',');
    }
    return parsed;
  }

  result<statement> ParseDrop() {
    statement parsed{.type = statement_type::kDropTable};
    BOOST_OUTCOME_TRY(ExpectWord("table"));
    if (AcceptWord("if")) {
      BOOST_OUTCOME_TRY(ExpectWord("exists"));
      parsed.if_exists_clause = true;
    }
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    return parsed;
  }

  result<statement> ParseInsert() {
    statement parsed{.type = statement_type::kInsert};
    BOOST_OUTCOME_TRY(ExpectWord("into"));
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    if (AcceptSymbol('(')) {
      while (!AcceptSymbol(')')) {
        BOOST_OUTCOME_TRY(std::string name, ExpectName());
        parsed.column_names.push_back(std::move(name));
        AcceptSymbol(',');
      }
    }
    BOOST_OUTCOME_TRY(ExpectWord("values"));
    do {
      BOOST_OUTCOME_TRY(std::vector<operand> values, ParseOperands());
      parsed.rows.push_back(std::move(values));
    } while (AcceptSymbol(','));
    return parsed;
  }

  result<statement> ParseUpdate() {
    statement parsed{.type = statement_type::kUpdate};
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    BOOST_OUTCOME_TRY(ExpectWord("set"));
    do {
      BOOST_OUTCOME_TRY(assignment change, ParseAssignment());
      parsed.assignments.push_back(std::move(change));
    } while (AcceptSymbol(','));
    BOOST_OUTCOME_TRY(ParseWhere(parsed));
    return parsed;
  }

  result<statement> ParseDelete() {
    statement parsed{.type = statement_type::kDelete};
    BOOST_OUTCOME_TRY(ExpectWord("from"));
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    BOOST_OUTCOME_TRY(ParseWhere(parsed));
    return parsed;
  }

  result<statement> ParseSelect() {
    statement parsed{.type = statement_type::kSelect};
    if (Peek().type != token_type::kWord && Peek().text != "*") {
      return ParseSelectValues();
    }
    if (!AcceptSymbol('*')) {
      do {
        BOOST_OUTCOME_TRY(std::string name, ExpectName());
        if (Peek().text == "(" && name != "count") {
          return ParseFunction(std::move(name));
        }
        if (name == "count") {
          parsed.count_rows = true;
          BOOST_OUTCOME_TRY(ExpectSymbol('('));
          AcceptSymbol('*');
          BOOST_OUTCOME_TRY(ExpectSymbol(')'));
        } else {
          parsed.column_names.push_back(std::move(name));
        }
      } while (AcceptSymbol(','));
    }
    BOOST_OUTCOME_TRY(ExpectWord("from"));
    BOOST_OUTCOME_TRY(parsed.name, ExpectName());
    BOOST_OUTCOME_TRY(ParseWhere(parsed));
    SkipRemainingClauses();
    return parsed;
  }

  /// Skips the rest of the statement. For SELECT this ignores ORDER BY: rows
  /// are always returned in key order.
  void SkipRemainingClauses() {
    while (Peek().type != token_type::kEnd && Peek().text != ";") {
      Next();
    }
  }

  result<statement> ParseSelectValues() {
    statement parsed{.type = statement_type::kSelectValues};
    std::vector<operand> values;
    do {
      BOOST_OUTCOME_TRY(operand value, ParseOperand());
      values.push_back(std::move(value));
    } while (AcceptSymbol(','));
    parsed.rows.push_back(std::move(values));
    return parsed;
  }

  result<statement> ParseFunction(std::string name) {
    statement parsed{.type = statement_type::kSelectFunction,
                     .name = std::move(name)};
    BOOST_OUTCOME_TRY(std::vector<operand> values, ParseOperands());
    parsed.rows.push_back(std::move(values));
    return parsed;
  }

  result<statement> ParseUtilityStatement(statement_type type) {
    statement parsed{.type = type};
    if (Peek().type == token_type::kWord) {
      parsed.name = Next().text;
    }
    SkipRemainingClauses();
    return parsed;
  }

  statement ParseBegin() {
    statement parsed{.type = statement_type::kBegin};
    while (Peek().type == token_type::kWord) {
      parsed.read_only = parsed.read_only || Peek().text == "only";
      Next();
    }
    SkipRemainingClauses();
    return parsed;
  }

  result<statement> ParseStatement() {
    const token first = Next();
    const std::string& word = first.text;
    if (word == "create") return ParseCreate();
    if (word == "drop") return ParseDrop();
    if (word == "insert") return ParseInsert();
    if (word == "update") return ParseUpdate();
    if (word == "delete") return ParseDelete();
    if (word == "select") return ParseSelect();
    if (word == "begin" || word == "start") return ParseBegin();
    if (word == "commit" || word == "end") {
      return ParseUtilityStatement(statement_type::kCommit);
    }
    if (word == "rollback" || word == "abort") {
      return ParseUtilityStatement(statement_type::kRollback);
    }
    if (word == "set") return ParseUtilityStatement(statement_type::kSet);
    if (word == "show") return ParseUtilityStatement(statement_type::kShow);
    if (word == "discard" || word == "deallocate") {
      return ParseUtilityStatement(statement_type::kDiscard);
    }
    return sassafraswick::MakeError(error_kind::kProtocol,
                                    "syntax error at or near \"" + word + "\"");
  }

  std::vector<token> tokens_;
  std::size_t at_ = 0;
};

}  // namespace

result<std::vector<statement>> ParseSql(std::string_view sql) {
  return parser(sql).Parse();
}

}  // namespace standin
