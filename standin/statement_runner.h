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
/// Runs one session's statements: transactions, slots and control functions.

namespace standin {

/// Counts of one instance that all its sessions share.
struct instance_load {
  explicit instance_load(const boost::asio::any_io_executor& executor)
      : slot_freed(executor) {}

  std::uint32_t sessions = 0;
  std::uint32_t running = 0;
  sassafraswick::async_event slot_freed;
};

/// Transaction state of one session.
class statement_runner {
 public:
  statement_runner(instance& database, std::shared_ptr<instance_load> load)
      : instance_(database), load_(std::move(load)) {}
  ~statement_runner() { instance_.Engine().Rollback(transaction_); }
  statement_runner(const statement_runner&) = delete;
  statement_runner& operator=(const statement_runner&) = delete;

  /// Runs one statement; a failure fails the transaction.
  boost::asio::awaitable<sql_result> Run(const statement& parsed,
                                         const std::vector<cell>& parameters);

  /// Ends the implicit transaction of a query or of a Sync.
  /// @return False if it should have committed and could not.
  [[nodiscard]] bool EndImplicitTransaction();

  /// Notes an error outside of statements, such as in the protocol.
  void MarkFailed() noexcept { failed_ = true; }

  [[nodiscard]] sassafraswick::transaction_status Status() const noexcept;

  /// True once after the session's prepared statements were discarded.
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
