#ifndef STANDIN_STATEMENT_RUNNER_H_
#define STANDIN_STATEMENT_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/wire/frame.h"
#include "standin/instance.h"

/// @file
/// Execution of a session's statements: transactions, slots and control
/// functions.

namespace standin {

/// Open sessions and running statements of an instance, shared by its sessions.
struct instance_load {
  explicit instance_load(const boost::asio::any_io_executor& executor)
      : slot_freed(executor) {}

  std::uint32_t sessions = 0;
  std::uint32_t running = 0;
  sassafraswick::async_event slot_freed;
};

/// Runs a session's statements and keeps its transaction state.
class statement_runner {
 public:
  statement_runner(instance& database, std::shared_ptr<instance_load> load)
      : instance_(database), load_(std::move(load)) {}
  ~statement_runner() { instance_.Engine().Rollback(transaction_); }
  statement_runner(const statement_runner&) = delete;
  statement_runner& operator=(const statement_runner&) = delete;

  /// Runs one statement. An error aborts the transaction.
  boost::asio::awaitable<sql_result> Run(const statement& parsed,
                                         const std::vector<cell>& parameters);

  /// Ends the implicit transaction of a query or Sync; does nothing inside a
  /// transaction block.
  /// @return False if changes could not be committed.
  [[nodiscard]] bool EndImplicitTransaction();

  /// Aborts the transaction after an error outside a statement, such as a
  /// protocol error.
  void MarkFailed() noexcept { failed_ = true; }

  [[nodiscard]] sassafraswick::transaction_status Status() const noexcept;

  /// Returns whether prepared statements were discarded since the last call.
  [[nodiscard]] bool ConsumeDiscarded() noexcept {
    return std::exchange(discarded_, false);
  }

 private:
  std::optional<sql_result> HandleTransactionControl(const statement& parsed);
  boost::asio::awaitable<sql_result> RunInSlot(
      const statement& parsed, const std::vector<cell>& parameters);
  boost::asio::awaitable<sql_result> CallFunction(
      const statement& parsed, const std::vector<cell>& parameters);
  boost::asio::awaitable<void> WaitForChange(std::int64_t known_end,
                                             duration timeout);
  sql_result SetRuntimeSetting(const std::string& name, std::int64_t value);
  [[nodiscard]] bool EndTransaction();

  instance& instance_;
  std::shared_ptr<instance_load> load_;
  transaction transaction_;
  bool in_block_ = false;
  bool read_only_ = false;
  bool failed_ = false;
  bool may_have_written_ = false;
  bool discarded_ = false;
};

}  // namespace standin

#endif  // STANDIN_STATEMENT_RUNNER_H_
