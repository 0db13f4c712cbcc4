#ifndef SASSAFRASWICK_PROXY_TARGET_POOL_H_
#define SASSAFRASWICK_PROXY_TARGET_POOL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sassafraswick/config/tables.h"
#include "sassafraswick/failover/promotion.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/proxy/target_connection.h"
#include "sassafraswick/routing/dispatch.h"

/// @file
/// One pool at run time: executes the decisions of dispatch and failover.

namespace sassafraswick {

/// Exclusive use of a connection until it is released.
struct connection_lease {
  std::shared_ptr<target_connection> connection;
  /// Term of the group when the connection was leased.
  term_number term = 0;
  bool on_primary = false;
};

/// A leased connection, or the reason why the request was refused.
using acquire_result = std::variant<connection_lease, refusal>;

/// Whether a write is known to be durable.
enum class durability : std::uint8_t {
  /// A majority of the group holds the write, and no successor of the primary
  /// can have acknowledged a write yet.
  kDurable,
  /// The primary was replaced, or the deadline passed.
  kUnknown,
};

/// What a pool needs from its host.
struct pool_environment {
  dispatch_settings dispatch;
  failover_settings failover;
  /// Time for which an instance may delay a status response while neither its
  /// log, its term nor its role changes.
  duration heartbeat_interval = std::chrono::milliseconds(75);
  /// Maximum number of connections from this host to an instance, given the
  /// number that it holds and the number that it could use.
  std::function<std::uint32_t(const pool&, instance_index, std::uint32_t held,
                              std::uint32_t wanted)>
      budget;
  /// What other hosts report about the group.
  std::function<peer_view(const std::string& pool)> peers;
};

/// Counters shown by status and dump.
struct pool_counts {
  std::uint64_t reads_on_replica = 0;
  std::uint64_t reads_on_primary = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t promotions = 0;
  std::uint64_t retries = 0;
};

/// Connections, group state and queued requests of one pool.
class target_pool : public std::enable_shared_from_this<target_pool> {
 public:
  target_pool(boost::asio::io_context& context, pool definition,
              pool_environment environment);

  /// Starts monitoring the instances.
  void Start();

  /// Stops the pool once its queued and running requests are done.
  void Retire();

  /// Applies a changed definition.
  /// @return False if instances or credentials differ, which needs a new pool.
  [[nodiscard]] bool Update(const pool& definition);

  /// Waits for a connection to an instance that may serve the request.
  /// @param session The requesting session; an idle connection that carries its
  /// state is preferred.
  boost::asio::awaitable<acquire_result> Acquire(request_entry request,
                                                 session_number session);

  /// Returns a connection to the pool.
  /// @param reusable Whether the connection may serve other requests; if not,
  /// it is closed.
  void Release(const connection_lease& lease, bool reusable);

  /// Rolls back the open transaction, then returns the connection to the pool.
  void RollbackAndRelease(connection_lease lease);

  /// Waits until a write is durable and may be acknowledged.
  /// @param term Term of the primary that executed the write.
  /// @param write_end Log position that the primary reported after the write.
  boost::asio::awaitable<durability> AwaitDurable(term_number term,
                                                  log_point write_end,
                                                  time_point deadline);

  /// Returns whether writes of a term may be acknowledged now: the term is
  /// current and its primary lease has not expired.
  [[nodiscard]] bool MayAcknowledge(term_number term) const;

  /// Records a log position that an instance reported on a data connection.
  void RecordPosition(instance_index instance, log_point position);

  [[nodiscard]] const pool& Definition() const noexcept { return definition_; }
  [[nodiscard]] const group_state& Group() const noexcept { return group_; }
  [[nodiscard]] const failover_state& Failover() const noexcept {
    return failover_;
  }
  [[nodiscard]] const dispatch_table& Table() const noexcept { return table_; }
  [[nodiscard]] const pool_environment& Environment() const noexcept {
    return environment_;
  }
  [[nodiscard]] pool_counts& Counts() noexcept { return counts_; }
  [[nodiscard]] std::uint64_t Random() { return random_(); }

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor)
        : completed(executor) {}
    session_number session = 0;
    std::optional<acquire_result> outcome;
    async_event completed;
  };

  [[nodiscard]] bool IsDone() const;
  [[nodiscard]] target_credentials Credentials() const;
  boost::asio::awaitable<void> RunMaintenance();
  boost::asio::awaitable<void> WatchInstance(instance_index instance);
  boost::asio::awaitable<result<void>> RequestStatus(
      instance_index instance, target_connection& connection);
  boost::asio::awaitable<void> RunCommand(failover_command command);
  boost::asio::awaitable<void> OpenConnection(instance_index instance);
  boost::asio::awaitable<void> RollbackTransaction(connection_lease lease);
  void OnGroupChanged();
  void CloseUnusable();
  void DispatchWaiting();
  void Assign(const assignment& assigned);
  [[nodiscard]] std::shared_ptr<target_connection> TakeIdle(
      instance_index instance, session_number session);
  void CompleteRequest(request_id id, acquire_result outcome);
  void ApplyBudgets();
  void CloseExcess(instance_index instance);

  boost::asio::io_context& context_;
  pool definition_;
  pool_environment environment_;
  group_state group_;
  failover_state failover_;
  dispatch_table table_;
  pool_counts counts_;
  std::vector<std::deque<std::shared_ptr<target_connection>>> idle_;
  std::unordered_map<target_connection*, connection_lease> leased_;
  std::unordered_map<request_id, std::shared_ptr<waiter>> waiters_;
  request_id next_request_ = 1;
  std::uint32_t pending_acknowledgements_ = 0;
  term_number last_logged_term_ = 0;
  bool retired_ = false;
  bool dispatching_ = false;
  bool dispatch_again_ = false;
  async_event changed_;
  async_event poll_now_;
  std::mt19937_64 random_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_TARGET_POOL_H_
