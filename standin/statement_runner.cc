#include "standin/statement_runner.h"

#include <algorithm>
#include <charconv>

namespace standin {
namespace {

namespace asio = boost::asio;

constexpr duration kSlotRecheckInterval = std::chrono::seconds(1);

std::int64_t IntegerOf(const cell& value) {
  std::int64_t number = 0;
  if (value.has_value()) {
    std::from_chars(value->data(), value->data() + value->size(), number);
  }
  return number;
}

bool ChangesData(statement_type type) {
  return type == statement_type::kInsert || type == statement_type::kUpdate ||
         type == statement_type::kDelete ||
         type == statement_type::kCreateTable ||
         type == statement_type::kDropTable;
}

sql_result TextResult(const std::string& name, std::string value) {
  sql_result outcome;
  outcome.columns = {{name}};
  outcome.rows = {{std::move(value)}};
  outcome.tag = "SELECT 1";
  return outcome;
}

}  // namespace

asio::awaitable<sql_result> statement_runner::Run(
    const statement& parsed, const std::vector<cell>& parameters) {
  sql_result outcome;
  const bool ends_transaction = parsed.type == statement_type::kCommit ||
                                parsed.type == statement_type::kRollback;
  std::optional<sql_result> control;
  if (failed_ && !ends_transaction) {
    outcome.failure =
        sql_error{"25P02",
                  "current transaction is aborted, commands ignored until end "
                  "of transaction block"};
    co_return outcome;
  }
  control = HandleTransactionControl(parsed);
  if (control.has_value()) {
    outcome = std::move(*control);
  } else if (parsed.type == statement_type::kShow) {
    outcome = TextResult(parsed.name, "");
    outcome.tag = "SHOW";
  } else if (parsed.type == statement_type::kSelectFunction) {
    outcome = co_await CallFunction(parsed, parameters);
  } else {
    outcome = co_await RunInSlot(parsed, parameters);
  }
  failed_ = failed_ || outcome.failure.has_value();
  co_return outcome;
}

bool statement_runner::EndImplicitTransaction() {
  return in_block_ || EndTransaction();
}

sassafraswick::transaction_status statement_runner::Status() const noexcept {
  using sassafraswick::transaction_status;
  if (!in_block_) {
    return transaction_status::kIdle;
  }
  return failed_ ? transaction_status::kFailed
                 : transaction_status::kInTransaction;
}

/// Commits the open transaction, or rolls it back if a statement failed.
/// @return False if changes could not be committed.
bool statement_runner::EndTransaction() {
  bool committed = true;
  if (failed_) {
    instance_.Engine().Rollback(transaction_);
  } else {
    committed = instance_.Commit(transaction_) || !may_have_written_;
  }
  failed_ = false;
  may_have_written_ = false;
  return committed;
}

/// Handles statements that control the transaction or session.
/// @return The result; empty for other statements.
std::optional<sql_result> statement_runner::HandleTransactionControl(
    const statement& parsed) {
  switch (parsed.type) {
    case statement_type::kBegin:
      in_block_ = true;
      read_only_ = parsed.read_only;
      return sql_result{{}, {}, "BEGIN", {}};
    case statement_type::kCommit: {
      const bool aborted = failed_;
      in_block_ = false;
      if (!EndTransaction()) {
        return sql_result{
            {}, {}, "", sql_error{"25006", "instance is no longer primary"}};
      }
      return sql_result{{}, {}, aborted ? "ROLLBACK" : "COMMIT", {}};
    }
    case statement_type::kRollback:
      failed_ = true;
      in_block_ = false;
      static_cast<void>(EndTransaction());
      return sql_result{{}, {}, "ROLLBACK", {}};
    case statement_type::kSet:
      return sql_result{{}, {}, "SET", {}};
    case statement_type::kDiscard:
      discarded_ = true;
      return sql_result{{}, {}, "DISCARD ALL", {}};
    case statement_type::kEmpty:
      return sql_result{};
    default:
      return std::nullopt;
  }
}

asio::awaitable<sql_result> statement_runner::RunInSlot(
    const statement& parsed, const std::vector<cell>& parameters) {
  while (load_->running >= instance_.Settings().slots) {
    co_await load_->slot_freed.Wait(kSlotRecheckInterval);
  }
  ++load_->running;
  const duration time = instance_.RuntimeSettings().statement_time;
  if (time > duration::zero()) {
    co_await sassafraswick::Sleep(time);
  }
  --load_->running;
  load_->slot_freed.NotifyAll();
  if (ChangesData(parsed.type)) {
    if (!instance_.IsPrimary() || (in_block_ && read_only_)) {
      co_return sql_result{
          {},
          {},
          "",
          sql_error{"25006", "cannot execute in a read-only transaction"}};
    }
    may_have_written_ = true;
  }
  co_return instance_.Engine().Execute(parsed, parameters, transaction_);
}

asio::awaitable<sql_result> statement_runner::CallFunction(
    const statement& parsed, const std::vector<cell>& parameters) {
  std::vector<cell> arguments;
  for (const operand& each : parsed.rows.front()) {
    const bool is_parameter =
        each.parameter > 0 && each.parameter <= parameters.size();
    arguments.push_back(is_parameter ? parameters[each.parameter - 1]
                                     : each.literal);
  }
  arguments.resize(std::max<std::size_t>(arguments.size(), 2));
  if (parsed.name == "group_status") {
    co_await WaitForChange(IntegerOf(arguments[0]),
                           std::chrono::milliseconds(IntegerOf(arguments[1])));
    co_return TextResult(parsed.name, instance_.StatusText());
  }
  if (parsed.name == "group_fence" || parsed.name == "group_promote") {
    const term_number term = static_cast<term_number>(IntegerOf(arguments[0]));
    const command_result outcome = parsed.name == "group_fence"
                                       ? instance_.Fence(term)
                                       : instance_.Promote(term);
    co_return TextResult(parsed.name, std::string("accepted=") +
                                          (outcome.accepted ? "1 " : "0 ") +
                                          outcome.text);
  }
  if (parsed.name == "standin_set") {
    co_return SetRuntimeSetting(arguments[0].value_or(""),
                                IntegerOf(arguments[1]));
  }
  if (parsed.name == "pg_sleep") {
    ++load_->running;
    co_await sassafraswick::Sleep(
        std::chrono::seconds(IntegerOf(arguments[0])));
    --load_->running;
    load_->slot_freed.NotifyAll();
    co_return TextResult(parsed.name, "");
  }
  if (parsed.name == "generate_series") {
    sql_result outcome;
    outcome.columns = {{parsed.name, column_type::kBigint}};
    for (std::int64_t i = IntegerOf(arguments[0]); i <= IntegerOf(arguments[1]);
         ++i) {
      outcome.rows.push_back({std::to_string(i)});
    }
    outcome.tag = "SELECT " + std::to_string(outcome.rows.size());
    co_return outcome;
  }
  co_return sql_result{
      {}, {}, "", sql_error{"42883", "function does not exist"}};
}

/// Waits until the log passes a position, the term or role changes, or the
/// timeout passes.
asio::awaitable<void> statement_runner::WaitForChange(std::int64_t known_end,
                                                      duration timeout) {
  const time_point deadline = sassafraswick::monotonic_clock::now() + timeout;
  const term_number term = instance_.Term();
  const bool primary = instance_.IsPrimary();
  while (instance_.Received() <= static_cast<log_position>(known_end) &&
         instance_.Term() == term && instance_.IsPrimary() == primary) {
    const time_point now = sassafraswick::monotonic_clock::now();
    if (now >= deadline) {
      co_return;
    }
    co_await instance_.Changed().Wait(
        std::chrono::duration_cast<duration>(deadline - now));
  }
}

sql_result statement_runner::SetRuntimeSetting(const std::string& name,
                                               std::int64_t value) {
  runtime_settings& settings = instance_.RuntimeSettings();
  const std::chrono::milliseconds span(value);
  if (name == "replication_delay_ms") {
    settings.replication_delay = span;
  } else if (name == "apply_delay_ms") {
    settings.apply_delay = span;
  } else if (name == "statement_time_ms") {
    settings.statement_time = span;
  } else if (name == "isolated") {
    settings.isolated = value != 0;
  } else {
    return {{}, {}, "", sql_error{"42704", "unknown setting " + name}};
  }
  return TextResult("standin_set", std::to_string(value));
}

}  // namespace standin
