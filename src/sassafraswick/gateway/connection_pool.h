#ifndef SASSAFRASWICK_GATEWAY_CONNECTION_POOL_H_
#define SASSAFRASWICK_GATEWAY_CONNECTION_POOL_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/lease_request.h"
#include "sassafraswick/gateway/target_state.h"
#include "sassafraswick/lending/home_directory.h"

/// @file
/// One host's pooled connections to the instances of a group: leases them to
/// operations, and decides when to open and which to keep.

namespace sassafraswick {

/// Upper bound of the connect time that counts against an instance when one is
/// chosen. A handshake occupies a slot for 12 ms at the deployment's sites, but
/// its connection also serves later statements.
inline constexpr duration kMaxConnectCost = std::chrono::milliseconds(10);

/// Callbacks for an instance's responses and for requests without response.
template <session_codec Codec>
struct connection_observer {
  std::function<void(target_state<Codec>& target,
                     const statement_result& response, time_point requested_at)>
      on_response;
  std::function<void(target_state<Codec>& target, time_point requested_at)>
      on_no_response;
};

/// Each connection belongs to one organisation. It keeps the state of the
/// session that used it last until another session needs it.
template <session_codec Codec>
class connection_pool {
 public:
  using target_pointer = std::shared_ptr<target_state<Codec>>;
  using connection_pointer = std::shared_ptr<pooled_connection<Codec>>;

  connection_pool(std::string group, gateway_counters& counters,
                  connection_observer<Codec> observer)
      : name_(std::move(group)),
        counters_(counters),
        observer_(std::move(observer)) {}

  /// Sets this host's share of each instance's connection limit.
  void SetBudget(std::uint32_t connections, std::uint32_t hosts) {
    budget_ = ShareConnections(connections, hosts);
    home_budget_ = ShareOfHome(connections);
    connections_ = connections;
    hosts_ = hosts;
  }

  /// Allows to share connections with other hosts. The arguments must outlive
  /// this pool.
  void SetHomes(home_directory& homes, connection_borrower& borrower) {
    homes_ = &homes;
    borrower_ = &borrower;
  }

  /// Returns whether hosts share the connections to the group's instances.
  [[nodiscard]] bool IsShared() const {
    return borrower_ != nullptr && borrower_->IsEnabled() &&
           SharesConnections(connections_, hosts_);
  }

  /// Leases a connection as a home of the instance: once the statement is
  /// admitted, so that a connection is not held by one that waits.
  boost::asio::awaitable<pooled_connection_lease<Codec>> AcquireAsHome(
      target_pointer target, lease_request request) {
    target->gate->SetSlots(std::max<std::uint32_t>(target->record.slots, 1));
    while (true) {
      target->lends_until = monotonic_clock::now() + kHomeRetention;
      admission_outcome admitted =
          co_await target->gate->Admit(MakeAdmission(*target, request));
      pooled_connection_lease<Codec> lease;
      lease.target = target;
      if (admitted.ticket == nullptr) {
        lease.failure = failure_code::kBusy;
        lease.rejected = true;
        lease.retry_after = admitted.retry_after;
        co_return lease;
      }
      lease = co_await TryAcquire(target, request);
      if (lease.connection != nullptr) {
        connection_admission& admission = lease.connection->admission;
        admission.gate = target->gate;
        admission.ticket = std::move(admitted.ticket);
        admission.priority = request.priority;
        admission.expected_work = target->latency;
      }
      if (lease.connection != nullptr || lease.failure != failure_code::kNone) {
        co_return lease;
      }
      admitted.ticket.reset();
      const bool in_time = co_await WaitForRelease(*target, request.deadline);
      if (!in_time) {
        lease.failure = failure_code::kBusy;
        lease.rejected = true;
        co_return lease;
      }
    }
  }

  /// Leases a connection for an operation.
  boost::asio::awaitable<pooled_connection_lease<Codec>> Acquire(
      target_pointer target, lease_request request) {
    const time_point requested_at = monotonic_clock::now();
    pooled_connection_lease<Codec> lease;
    if (IsShared()) {
      lease = co_await AcquireShared(target, request);
    } else {
      lease = co_await AcquireOwn(target, request);
    }
    const time_point now = monotonic_clock::now();
    // Pauses of transactions say nothing about how soon a connection is free.
    if (request.use != lease_use::kTransaction) {
      lease.leased_at = now;
    }
    lease.waited = std::chrono::duration_cast<duration>(now - requested_at);
    co_return lease;
  }

  /// Releases a connection.
  /// @param reusable The target has responded to all requests, and no
  /// transaction is open on the connection.
  void Release(const pooled_connection_lease<Codec>& lease, bool reusable) {
    lease.connection->admission = {};
    if (lease.connection->IsBorrowed()) {
      --lease.target->borrowed;
      lease.connection->Close();
      return;
    }
    --lease.target->busy;
    RecordAnswer(lease.target->contact, lease.connection->ConnectedAt(),
                 lease.connection->AnsweredAt());
    if (lease.leased_at.has_value()) {
      lease.target->line.Waiters().RecordUse(
          std::chrono::duration_cast<duration>(monotonic_clock::now() -
                                               *lease.leased_at));
    }
    const bool keep =
        reusable && lease.connection->IsOpen() && lease.target->listed &&
        CountOpenConnections(*lease.target) < BudgetOf(*lease.target).max_open;
    if (keep) {
      lease.connection->idle_since = monotonic_clock::now();
      lease.target->idle.push_back(lease.connection);
      CloseExcess(*lease.target);
    } else {
      lease.connection->Close();
    }
    lease.target->connection_released.NotifyAll();
    lease.target->line.WakeFirst();
  }

  /// Leases a connection for a control statement, which any organisation's idle
  /// connection can carry. If none is idle, a connection is opened beyond the
  /// budget, so that control statements do not wait for callers' statements.
  boost::asio::awaitable<pooled_connection_lease<Codec>> AcquireForControl(
      target_pointer target) {
    std::erase_if(target->idle, [](const connection_pointer& connection) {
      return connection->IsStale();
    });
    pooled_connection_lease<Codec> lease;
    lease.target = target;
    if (target->idle.empty() &&
        monotonic_clock::now() >= target->at_capacity_until) {
      lease = co_await Open(target, std::string());
      if (lease.failure != failure_code::kTooManyConnections) {
        co_return lease;
      }
    }
    if (target->idle.empty() && target->busy > 0) {
      co_await target->connection_released.Wait(kCapacityBackoff);
    }
    if (target->idle.empty()) {
      lease.failure = failure_code::kTooManyConnections;
      co_return lease;
    }
    // The oldest connection tells most about how long the process has run.
    const auto oldest = std::min_element(
        target->idle.begin(), target->idle.end(),
        [](const connection_pointer& left, const connection_pointer& right) {
          return left->ConnectedAt() < right->ConnectedAt();
        });
    lease.connection = *oldest;
    target->idle.erase(oldest);
    ++target->busy;
    co_return lease;
  }

  /// Closes idle connections beyond this host's share. Connections of hosts
  /// that lose power count against the instance's limit for some seconds more,
  /// so the idle connections of the fleet leave room for as many again.
  void CloseExcess(target_state<Codec>& target) {
    const std::uint32_t max_idle = BudgetOf(target).max_idle;
    while (target.idle.size() > 1 && CountOpenConnections(target) > max_idle) {
      target.idle.erase(target.idle.begin());
    }
    const bool idle_too_long =
        max_idle == 0 && !target.idle.empty() &&
        monotonic_clock::now() - target.idle.front()->idle_since >
            kScarceIdleTimeout;
    if (idle_too_long) {
      target.idle.erase(target.idle.begin());
    }
  }

  /// Rolls a transaction back and releases its connection.
  boost::asio::awaitable<void> Rollback(pooled_connection_lease<Codec> lease) {
    if (!lease.connection->IsOpen()) {
      Release(lease, false);
      co_return;
    }
    const std::string bytes =
        Codec::FormatControl(control_statement::kRollback, 0);
    const exchange_outcome outcome =
        co_await lease.connection->Exchange(bytes, 1, kControlTimeout);
    const bool is_idle =
        !outcome.results.empty() &&
        outcome.results.front().state == transaction_state::kIdle;
    Release(lease, is_idle);
  }

  /// Connections that this host holds as a home of the instance.
  [[nodiscard]] std::uint32_t CountAsHome(
      const target_state<Codec>& target) const {
    return IsHome(target) ? CountOpenConnections(target) : 0;
  }

  /// Duration of the last connect, at most `kMaxConnectCost`.
  [[nodiscard]] duration ConnectCost() const noexcept { return connect_cost_; }

 private:
  static std::uint32_t CountOpenConnections(const target_state<Codec>& target) {
    return static_cast<std::uint32_t>(target.idle.size()) + target.busy +
           target.opening;
  }

  /// Returns whether this host opens connections on behalf of others: it is the
  /// best ranked home, or others believed so a moment ago.
  [[nodiscard]] bool IsHome(const target_state<Codec>& target) const {
    if (!IsShared()) {
      return false;
    }
    const std::vector<std::string>& homes =
        homes_->HomesOf(target.record.id, target.record.availability_zone);
    return (!homes.empty() && homes.front() == borrower_->Host()) ||
           monotonic_clock::now() < target.lends_until;
  }

  [[nodiscard]] const connection_share& BudgetOf(
      const target_state<Codec>& target) const {
    return IsHome(target) ? home_budget_ : budget_;
  }

  static admission_request MakeAdmission(const target_state<Codec>& target,
                                         const lease_request& request) {
    admission_request asked;
    asked.priority = request.priority;
    asked.organisation = request.organisation;
    asked.expected_work = target.latency;
    asked.latest_start = request.deadline;
    return asked;
  }

  /// Returns whether another connection may be opened now. If so, takes a token
  /// of the connect rate limiter and, at this host's share of the connection
  /// limit, closes an idle connection to make room.
  bool PrepareToOpen(target_state<Codec>& target) {
    if (monotonic_clock::now() < target.at_capacity_until) {
      return false;
    }
    const std::uint32_t max_open = BudgetOf(target).max_open;
    const std::uint32_t sharing_hosts = IsHome(target) ? 1 : hosts_;
    const bool has_room =
        CountOpenConnections(target) < max_open || !target.idle.empty();
    if (!has_room ||
        !TryAcquireConnect(target.connect_limiter,
                           std::max<std::uint32_t>(target.record.slots, 1),
                           sharing_hosts, monotonic_clock::now())) {
      return false;
    }
    if (CountOpenConnections(target) >= max_open) {
      target.idle.erase(target.idle.begin());
    }
    return true;
  }

  /// Takes an idle connection of the organisation, preferably one that holds
  /// the session's state.
  connection_pointer TakeIdle(target_state<Codec>& target,
                              const std::string& organisation,
                              session_number session) {
    std::erase_if(target.idle, [](const connection_pointer& connection) {
      return connection->IsStale();
    });
    auto chosen = target.idle.end();
    for (auto each = target.idle.begin(); each != target.idle.end(); ++each) {
      if ((*each)->Organisation() != organisation) {
        continue;
      }
      chosen = each;
      if ((*each)->carried_state.owner == session) {
        break;
      }
    }
    if (chosen == target.idle.end()) {
      return nullptr;
    }
    connection_pointer taken = *chosen;
    target.idle.erase(chosen);
    return taken;
  }

  /// Takes an idle connection or opens one.
  /// @return Neither a connection nor a failure if one has to wait.
  boost::asio::awaitable<pooled_connection_lease<Codec>> TryAcquire(
      target_pointer target, lease_request request) {
    pooled_connection_lease<Codec> lease;
    lease.target = target;
    lease.connection = TakeIdle(*target, request.organisation, request.session);
    if (lease.connection != nullptr) {
      ++target->busy;
      co_return lease;
    }
    if (PrepareToOpen(*target)) {
      lease = co_await Open(target, request.organisation);
      const bool wait_instead =
          lease.failure == failure_code::kTooManyConnections &&
          target->busy > 0;
      if (wait_instead) {
        lease.failure = failure_code::kNone;
      }
    }
    co_return lease;
  }

  /// Waits until a connection may be free.
  /// @return False if the deadline has passed.
  boost::asio::awaitable<bool> WaitForRelease(target_state<Codec>& target,
                                              time_point deadline) {
    const time_point now = monotonic_clock::now();
    if (now >= deadline) {
      co_return false;
    }
    const duration left = std::chrono::duration_cast<duration>(deadline - now);
    co_await target.connection_released.Wait(std::min(left, kCapacityBackoff));
    co_return true;
  }

  /// Leases a connection that this host opens for its own callers.
  boost::asio::awaitable<pooled_connection_lease<Codec>> AcquireOwn(
      target_pointer target, lease_request request) {
    connection_line& line = target->line;
    pooled_connection_lease<Codec> lease;
    lease.target = target;
    std::optional<connection_waiter> waiter;
    while (true) {
      const bool is_first =
          waiter.has_value()
              ? line.Waiters().IsFirst(*waiter)
              : line.Waiters().WouldBeFirst(request.priority, request.deadline);
      if (is_first || waiter.has_value() || !line.IsTurnTaken()) {
        lease.connection =
            TakeIdle(*target, request.organisation, request.session);
      }
      if (lease.connection != nullptr) {
        ++target->busy;
        break;
      }
      if (is_first && PrepareToOpen(*target)) {
        LeaveLine(line, waiter);
        lease = co_await Open(target, request.organisation);
        const bool wait_instead =
            lease.failure == failure_code::kTooManyConnections &&
            target->busy > 0;
        if (!wait_instead) {
          co_return lease;
        }
      }
      const bool has_waited = waiter.has_value();
      if (!has_waited) {
        waiter = line.Join(request.priority, request.deadline);
      } else if (!target->idle.empty()) {
        line.WakeAfter(*waiter);
      }
      const duration left = std::chrono::duration_cast<duration>(
          request.deadline - monotonic_clock::now());
      const duration expected =
          line.Waiters().ExpectedWait(*waiter, target->busy + target->opening);
      if (left <= duration::zero() || expected > left) {
        lease.failure = failure_code::kBusy;
        lease.retry_after = std::max(expected - left, duration::zero());
        RecordRejection(*target, request, has_waited, expected, left);
        break;
      }
      const bool awaits_permission = line.Waiters().IsFirst(*waiter);
      co_await line.Wait(
          *waiter, awaits_permission ? std::min(left, kCapacityBackoff) : left);
    }
    LeaveLine(line, waiter);
    co_return lease;
  }

  static void LeaveLine(connection_line& line,
                        std::optional<connection_waiter>& waiter) {
    if (waiter.has_value()) {
      line.Leave(*waiter);
      waiter.reset();
    }
  }

  /// @param expected Forecast of the wait.
  /// @param left Time left.
  void RecordRejection(const target_state<Codec>& target,
                       const lease_request& request, bool has_waited,
                       duration expected, duration left) {
    rejection_reason reason = rejection_reason::kNoRoom;
    if (has_waited) {
      reason = left > duration::zero() ? rejection_reason::kDisplaced
                                       : rejection_reason::kExpired;
    }
    counters_.CountRejection(reason, request.priority);
    Log(log_level::kInfo, "no_connection_in_time",
        {{"pool", name_},
         {"target", target.record.id},
         {"organisation", request.organisation},
         {"priority", std::to_string(request.priority)},
         {"reason", std::string(RejectionName(reason))},
         {"connections_in_use", std::to_string(target.busy)},
         {"expected_ms", std::to_string(ToMilliseconds(expected))},
         {"left_ms", std::to_string(ToMilliseconds(left))}});
  }

  /// Leases a connection from the instance's home, or as its home; if none
  /// lends one, it is opened by this host.
  boost::asio::awaitable<pooled_connection_lease<Codec>> AcquireShared(
      target_pointer target, lease_request request) {
    const std::shared_ptr<borrowed_connection> borrowed =
        std::make_shared<borrowed_connection>(
            *borrower_, name_, target->record.id,
            homes_->HomesOf(target->record.id,
                            target->record.availability_zone),
            request);
    ++target->borrowed;
    const borrow_outcome outcome = co_await borrowed->Acquire();
    pooled_connection_lease<Codec> lease;
    lease.target = target;
    if (outcome == borrow_outcome::kGranted) {
      lease.connection = std::make_shared<pooled_connection<Codec>>(
          borrower_->Executor(), borrowed, request.organisation);
      co_return lease;
    }
    --target->borrowed;
    if (outcome == borrow_outcome::kRejected) {
      lease.failure = failure_code::kBusy;
      lease.rejected = true;
      lease.retry_after = borrowed->RetryAfter();
    } else if (outcome == borrow_outcome::kServeHere) {
      lease = co_await AcquireAsHome(target, request);
    } else {
      lease = co_await AcquireOwn(target, request);
    }
    co_return lease;
  }

  boost::asio::awaitable<pooled_connection_lease<Codec>> Open(
      target_pointer target, std::string organisation) {
    pooled_connection_lease<Codec> lease;
    lease.target = target;
    ++target->opening;
    ++counters_.connections_opened;
    const time_point requested_at = monotonic_clock::now();
    result<stream_socket> socket =
        co_await Connect(target->record.address, kConnectTimeout);
    if (!socket) {
      --target->opening;
      lease.failure = failure_code::kNoAnswer;
      RecordConnectFailure(*target, socket.error(), requested_at);
      co_return lease;
    }
    EnableKeepalive(socket.value());
    connection_pointer connection = std::make_shared<pooled_connection<Codec>>(
        std::move(socket.value()), organisation);
    const std::string hello =
        Codec::FormatHello(name_, organisation, target->record.id);
    const exchange_outcome outcome =
        co_await connection->Exchange(hello, 1, kConnectTimeout);
    --target->opening;
    if (outcome.results.empty()) {
      lease.failure = failure_code::kNoAnswer;
      observer_.on_no_response(*target, requested_at);
      co_return lease;
    }
    const statement_result& greeting = outcome.results.front();
    lease.failure = greeting.failure;
    if (greeting.failure != failure_code::kNone) {
      const time_point now = monotonic_clock::now();
      if (greeting.failure == failure_code::kMisrouted) {
        // Another process listens at the address.
        target->health.replaced = true;
      } else {
        target->answered_at = now;
        target->health.silent_since.reset();
      }
      target->avoid_until = now + kFailureBackoff;
      target->at_capacity_until = now + kCapacityBackoff;
      Log(log_level::kInfo, "target_refused_connection",
          {{"pool", name_},
           {"target", target->record.id},
           {"reason", std::string(FailureName(greeting.failure))}});
      co_return lease;
    }
    connect_cost_ =
        std::min(kMaxConnectCost, std::chrono::duration_cast<duration>(
                                      monotonic_clock::now() - requested_at));
    observer_.on_response(*target, greeting, requested_at);
    ++target->busy;
    lease.connection = std::move(connection);
    co_return lease;
  }

  void RecordConnectFailure(target_state<Codec>& target, const error& failure,
                            time_point requested_at) {
    const time_point now = monotonic_clock::now();
    observer_.on_no_response(target, requested_at);
    if (failure.kind == error_kind::kClosed) {
      if (!target.health.refused_since.has_value()) {
        target.health.refused_since = requested_at;
      }
      target.health.refused_at = now;
    }
    Log(log_level::kInfo, "target_connect_failed",
        {{"pool", name_},
         {"target", target.record.id},
         {"reason", failure.message}});
  }

  std::string name_;
  gateway_counters& counters_;
  connection_observer<Codec> observer_;
  connection_share budget_;
  connection_share home_budget_;
  std::uint32_t connections_ = 0;
  std::uint32_t hosts_ = 1;
  home_directory* homes_ = nullptr;
  connection_borrower* borrower_ = nullptr;
  duration connect_cost_ = kMaxConnectCost;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CONNECTION_POOL_H_
