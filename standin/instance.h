#ifndef STANDIN_INSTANCE_H_
#define STANDIN_INSTANCE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/net/async_event.h"
#include "standin/engine.h"

/// @file
/// A simulated instance of a database group: log, role, tables and replication.

namespace standin {

using sassafraswick::duration;
using sassafraswick::endpoint;
using sassafraswick::log_position;
using sassafraswick::term_number;
using sassafraswick::time_point;

/// Command-line settings of an instance.
struct instance_settings {
  std::uint32_t index = 0;
  endpoint listen;
  endpoint replication_listen;
  /// Replication addresses of the other instances.
  std::vector<endpoint> peers;
  bool primary = false;
  std::string user = "pool";
  std::string password = "pool-secret";
  std::uint32_t connections = 20;
  std::uint32_t slots = 3;
  duration connect_time = std::chrono::milliseconds(10);
};

/// Settings that tests change at run time, to inject delays and faults.
struct runtime_settings {
  /// Delay before a committed entry is sent to the replicas.
  duration replication_delay = std::chrono::milliseconds(0);
  /// Delay before a replica applies a received entry, which makes it visible.
  duration apply_delay = std::chrono::milliseconds(0);
  /// Time for which each statement occupies a slot.
  duration statement_time = std::chrono::milliseconds(0);
  /// Stops replication in both directions.
  bool isolated = false;
};

/// Result of a fence or promote request; `text` is the status after it.
struct command_result {
  bool accepted = false;
  std::string text;
};

/// One instance's log, role and tables. Single-threaded.
class instance {
 public:
  instance(boost::asio::io_context& context, instance_settings settings);

  /// Starts replication. `ServeSessions` accepts client sessions.
  void StartReplication();

  /// Status as space-separated `name=value` fields.
  [[nodiscard]] std::string StatusText() const;

  /// Raises the term and demotes the instance to a replica. Rejected if the
  /// term is not higher than the current one.
  [[nodiscard]] command_result Fence(term_number term);

  /// Makes the instance primary of a term at which it was fenced, after it has
  /// applied all received entries. Rejected if that is not its current term.
  [[nodiscard]] command_result Promote(term_number term);

  /// Commits a transaction and replicates it.
  /// @return False if the instance is not primary; the transaction is then
  /// rolled back.
  [[nodiscard]] bool Commit(transaction& txn);

  [[nodiscard]] bool IsPrimary() const noexcept { return is_primary_; }
  [[nodiscard]] term_number Term() const noexcept { return term_; }
  [[nodiscard]] log_position Received() const noexcept { return log_.size(); }
  [[nodiscard]] log_position Applied() const noexcept { return applied_; }
  /// Term and position up to which the log is applied, as `TERM/POSITION`.
  [[nodiscard]] std::string AppliedText() const;
  [[nodiscard]] engine& Engine() noexcept { return engine_; }
  [[nodiscard]] runtime_settings& RuntimeSettings() noexcept {
    return runtime_settings_;
  }
  [[nodiscard]] const instance_settings& Settings() const noexcept {
    return settings_;
  }
  /// Notified when the log, the term or the role changes.
  [[nodiscard]] sassafraswick::async_event& Changed() noexcept {
    return changed_;
  }

 private:
  /// A replication message that waits for `replication_delay`.
  struct delayed_message {
    time_point due;
    log_position end = 0;
    std::int64_t echo = 0;
  };

  boost::asio::awaitable<void> ApplyEntries();
  boost::asio::awaitable<void> AcceptReplication();
  boost::asio::awaitable<void> ReceiveReplication(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> SendReplication(endpoint peer);
  boost::asio::awaitable<void> SendToPeer(boost::asio::ip::tcp::socket socket);
  /// Handles one message from a primary.
  /// @return The reply; empty if the connection must be closed.
  std::string HandleFromPrimary(const boost::json::object& message);
  void TruncateTo(log_position end);
  /// @return False if the message begins beyond the end of the log.
  [[nodiscard]] bool AppendEntries(const boost::json::object& message);
  void StepDown(term_number term);
  [[nodiscard]] log_position CommonPrefix(
      const boost::json::object& peer_state) const;
  [[nodiscard]] std::string LogState() const;
  [[nodiscard]] std::string AppendMessage(log_position begin, log_position end,
                                          std::int64_t echo) const;

  boost::asio::io_context& context_;
  instance_settings settings_;
  runtime_settings runtime_settings_;
  engine engine_;
  std::vector<log_entry> log_;
  std::vector<time_point> received_at_;
  sassafraswick::term_history history_;
  term_number term_ = 1;
  bool is_primary_ = false;
  /// Number of the newest replication connection; older ones are closed.
  std::uint64_t newest_replication_connection_ = 0;
  log_position applied_ = 0;
  /// When the last message from the primary was received.
  time_point last_primary_message_at_;
  /// The applied data is at least as new as the primary's was at this time.
  /// Becomes `pending_fresh_as_of_` once `freshness_position_` is applied.
  time_point fresh_as_of_;
  log_position freshness_position_ = 0;
  time_point pending_fresh_as_of_;
  sassafraswick::async_event changed_;
};

/// Accepts client sessions until the context stops.
boost::asio::awaitable<void> ServeSessions(instance& database);

}  // namespace standin

#endif  // STANDIN_INSTANCE_H_
