#ifndef SASSAFRASWICK_GATEWAY_CLIENT_SESSION_H_
#define SASSAFRASWICK_GATEWAY_CLIENT_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/gateway/caller_connection.h"
#include "sassafraswick/gateway/operation.h"

/// @file
/// One caller's session: transactions, session variables and prepared
/// statements, over any protocol that has a codec.

namespace sassafraswick {

/// Time within which a caller must send its first message; `header_timeout_ms`
/// in the deployment's requirements.
inline constexpr duration kStartupTimeout = std::chrono::seconds(3);
/// Longest wait for a rate limit token from the hub that holds the shared
/// bucket. The round trip takes a few milliseconds, and a hub polls its sockets
/// at least every 50 ms.
inline constexpr duration kMaxTokenWait = std::chrono::milliseconds(70);

/// Idle time after which a session may be closed. A caller that has just
/// connected or received a response often sends its next statement at once.
inline constexpr duration kMinIdleBeforeClose = std::chrono::milliseconds(60);

template <session_codec Codec>
class client_session
    : public std::enable_shared_from_this<client_session<Codec>> {
 public:
  client_session(gateway_state<Codec>& gateway, stream_socket socket,
                 session_number number)
      : gateway_(gateway),
        connection_(std::move(socket)),
        timer_(connection_.Executor()),
        number_(number),
        engine_(number, response_policy::kHost) {
    ++gateway_.counters.sessions;
  }
  client_session(const client_session&) = delete;
  client_session& operator=(const client_session&) = delete;
  ~client_session() {
    --gateway_.counters.sessions;
    DropTransaction();
  }

  /// Serves the caller until it disconnects or is rejected.
  boost::asio::awaitable<void> Run() {
    const std::shared_ptr<client_session> self = this->shared_from_this();
    StartTimer(kStartupTimeout);
    bool open = co_await Start();
    timer_.cancel();
    while (open) {
      is_idle_ = !IsInTransaction();
      idle_since_ = monotonic_clock::now();
      const std::optional<caller_message> message =
          co_await connection_.ReadMessage();
      is_idle_ = false;
      if (!message.has_value() ||
          message->kind == caller_message_kind::kTerminate) {
        break;
      }
      ++activity_;
      ++gateway_.counters.statements_in_flight;
      open = co_await Serve(*message);
      --gateway_.counters.statements_in_flight;
      if (EndsAfter(message->query.kind)) {
        break;
      }
    }
    Close();
  }

  /// Closes the session if it is idle outside a transaction, and either the
  /// host is shutting down or the configuration no longer admits the caller.
  void CloseIfIdle(time_point now) {
    const std::optional<shutdown_phase> phase = Phase();
    const bool awaits_no_operation =
        phase.has_value() && *phase >= shutdown_phase::kFinishing;
    const bool may_close =
        is_idle_ && connection_.IsOpen() && MustClose() &&
        (now - idle_since_ >= kMinIdleBeforeClose || awaits_no_operation);
    if (may_close && !connection_.HasInput()) {
      Close();
    }
  }

 private:
  /// A transaction that the caller has begun. It has no connection to a target
  /// before its first statement.
  struct open_transaction {
    statement begin;
    operation_context operation;
    std::shared_ptr<target_group<Codec>> group;
    /// Set once the transaction has begun on a target.
    std::optional<running_transaction<Codec>> running;
  };

  [[nodiscard]] bool IsInTransaction() const {
    return transaction_.has_value();
  }

  [[nodiscard]] bool MustClose() const {
    return gateway_.shutdown.has_value() || !IsAdmitted();
  }

  /// Returns the phase of the host's shutdown; empty while it runs normally.
  [[nodiscard]] std::optional<shutdown_phase> Phase() const {
    if (!gateway_.shutdown.has_value()) {
      return std::nullopt;
    }
    return gateway_.shutdown->PhaseAt(monotonic_clock::now());
  }

  /// Returns whether a shutdown ends the session after a statement that has
  /// been answered. A caller that has sent another one gets its answer first.
  [[nodiscard]] bool EndsAfter(statement_kind kind) const {
    const std::optional<shutdown_phase> phase = Phase();
    return phase.has_value() && ClosesSession(*phase, kind, engine_.State()) &&
           !connection_.HasInput();
  }

  /// Returns whether the host's shutdown leaves no time for a statement.
  [[nodiscard]] bool IsTooLateFor(const statement& query) const {
    const std::optional<shutdown_phase> phase = Phase();
    return phase.has_value() &&
           !RunsStatement(*phase, query.kind, engine_.State());
  }

  /// Rejects a statement that was not run because the host shuts down, and
  /// rolls back its transaction.
  statement_result RejectForShutdown() {
    const bool in_transaction = engine_.State() != transaction_state::kIdle;
    engine_.OnTransactionFailed();
    return MakeFailure(
        in_transaction ? failure_code::kAborted : failure_code::kBusy,
        "the host is shutting down, retry on another");
  }

  [[nodiscard]] bool IsAdmitted() const {
    return AdmitCaller(*gateway_.current_catalog, database_, key_).verdict ==
           admission_verdict::kAdmitted;
  }

  void Close() {
    connection_.Close();
    DropTransaction();
  }

  void StartTimer(duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([weak = this->weak_from_this()](
                          const boost::system::error_code& cancelled) {
      const std::shared_ptr<client_session> self = weak.lock();
      if (!cancelled && self != nullptr) {
        self->Close();
      }
    });
  }

  /// Reads the first message and admits or rejects the caller.
  /// @return False if the session has to be closed.
  boost::asio::awaitable<bool> Start() {
    const std::optional<caller_message> message =
        co_await connection_.ReadMessage();
    if (!message.has_value()) {
      co_return false;
    }
    statement_result response;
    if (message->kind != caller_message_kind::kStart) {
      response.failure = failure_code::kMalformed;
      response.detail = "the first message names a database";
    } else {
      database_ = message->database;
      key_ = message->key;
      response = CheckAdmission();
    }
    if (response.failure != failure_code::kNone) {
      CountFailure("-", response);
      const std::string rejection = Codec::FormatRejection(response);
      co_await connection_.Send(rejection);
      co_return false;
    }
    const std::string greeting = Codec::FormatReady(response);
    const bool sent = co_await connection_.Send(greeting);
    co_return sent;
  }

  /// Looks up the caller's route and key in the current catalog.
  statement_result CheckAdmission() {
    statement_result response;
    admission_ = AdmitCaller(*gateway_.current_catalog, database_, key_);
    if (admission_.verdict == admission_verdict::kUnknownDatabase) {
      response.failure = failure_code::kUnknownDatabase;
      response.detail = "no route names this database";
    } else if (admission_.verdict == admission_verdict::kNotAuthorised) {
      response.failure = failure_code::kNotAuthorised;
      response.detail = "the key is not valid";
    }
    return response;
  }

  boost::asio::awaitable<bool> Serve(caller_message message) {
    if (message.kind != caller_message_kind::kStatement) {
      statement_result response =
          MakeFailure(failure_code::kMalformed, "not a message");
      const std::string rejection = Codec::FormatRejection(response);
      co_await connection_.Send(rejection);
      co_return false;
    }
    ++gateway_.counters.statements;
    const time_point arrived_at = monotonic_clock::now();
    last_wait_ = duration::zero();
    last_target_.clear();
    statement& query = message.query;
    idle_timer_generation_ = 0;
    statement_result response;
    if (query.text.size() > gateway_.current_catalog->max_statement_bytes) {
      response =
          MakeFailure(failure_code::kTooLarge, "the statement is too long");
      engine_.OnTransactionFailed();
    } else if (IsTooLateFor(query)) {
      response = RejectForShutdown();
    } else {
      response = co_await ExecuteDecision(query);
    }
    ApplyTransactionState();
    response.state = engine_.State();
    if (response.failure != failure_code::kNone) {
      CountFailure(query.id, response);
    }
    LogIfSlow(query, std::chrono::duration_cast<duration>(
                         monotonic_clock::now() - arrived_at));
    const bool sent = co_await connection_.Send(Codec::FormatResult(response));
    const bool rejected = response.failure == failure_code::kNotAuthorised ||
                          response.failure == failure_code::kUnknownDatabase;
    co_return sent && !rejected;
  }

  static statement_result MakeFailure(failure_code code, std::string detail) {
    statement_result response;
    response.failure = code;
    response.detail = std::move(detail);
    return response;
  }

  /// Carries out the session engine's decision on a statement.
  boost::asio::awaitable<statement_result> ExecuteDecision(statement query) {
    session_decision decision = engine_.Decide(query);
    switch (decision.action) {
      case session_action::kOpen:
        co_return co_await OpenTransaction(query);
      case session_action::kRunStandalone:
        co_return co_await RunStandalone(query, decision.writes);
      case session_action::kRunInTransaction:
        co_return co_await RunInTransaction(query, decision.writes);
      case session_action::kRollBack:
        DropTransaction();
        break;
      case session_action::kRespond:
      case session_action::kProxyParameter:
        break;
    }
    co_return std::move(decision.response);
  }

  /// Rolls a failed transaction back on its target, and restarts the idle timer
  /// of an open one.
  void ApplyTransactionState() {
    if (engine_.State() == transaction_state::kFailed) {
      RollbackOnTarget();
    }
    if (transaction_.has_value()) {
      StartIdleTimer();
    }
  }

  /// Checks one operation's route and key, and its organisation's rate limit.
  boost::asio::awaitable<statement_result> AdmitOperation() {
    statement_result response = CheckAdmission();
    const bool limited = !admission_.organisation.name.empty();
    if (response.failure != failure_code::kNone || !limited) {
      co_return response;
    }
    const admission_result verdict =
        co_await gateway_.limiter.Admit(admission_.organisation, kMaxTokenWait);
    if (!verdict.admitted) {
      response = MakeFailure(
          failure_code::kBusy,
          "over the rate of " + admission_.organisation.name + ", retry in " +
              std::to_string(RoundUpToMilliseconds(verdict.retry_after)) +
              " ms");
    }
    co_return response;
  }

  static std::int64_t RoundUpToMilliseconds(duration span) {
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
  }

  [[nodiscard]] operation_context MakeOperationContext(
      const statement& first) const {
    operation_context operation;
    operation.request = first.id;
    operation.session = number_;
    operation.route = admission_.route;
    operation.organisation = admission_.organisation.name;
    operation.arrived_at = monotonic_clock::now();
    operation.min_position = min_position_;
    return operation;
  }

  boost::asio::awaitable<statement_result> RunStandalone(statement query,
                                                         bool writes) {
    statement_result admitted = co_await AdmitOperation();
    if (admitted.failure != failure_code::kNone) {
      co_return admitted;
    }
    operation_runner<Codec> runner(gateway_, engine_,
                                   MakeOperationContext(query));
    if (runner.Group() == nullptr) {
      co_return MakeFailure(failure_code::kBusy, "the pool is not known yet");
    }
    statement_result response;
    if (writes) {
      response = co_await runner.Write(query);
      RecordOwnWrite(response);
    } else {
      response = co_await runner.Read(query);
    }
    RecordDispatch(runner);
    if (response.failure == failure_code::kBusy) {
      gateway_.limiter.Refund(admission_.organisation.name);
    }
    co_return response;
  }

  void RecordOwnWrite(const statement_result& response) {
    if (response.failure == failure_code::kNone &&
        response.position.has_value()) {
      min_position_ =
          session_position{*response.position, monotonic_clock::now()};
    }
  }

  boost::asio::awaitable<statement_result> OpenTransaction(statement query) {
    statement_result admitted = co_await AdmitOperation();
    if (admitted.failure != failure_code::kNone) {
      co_return admitted;
    }
    open_transaction opened;
    opened.operation = MakeOperationContext(query);
    opened.begin = std::move(query);
    opened.group = gateway_.FindGroup(opened.operation.route.pool);
    transaction_ = std::move(opened);
    engine_.OnTransactionOpened(false);
    co_return statement_result();
  }

  boost::asio::awaitable<statement_result> RunInTransaction(statement query,
                                                            bool writes) {
    statement_result response = co_await RunOnTarget(query, writes);
    const bool ended = query.kind == statement_kind::kCommit &&
                       transaction_->running.has_value();
    if (ended) {
      EndCommitted(response);
    } else if (response.failure != failure_code::kNone) {
      engine_.OnTransactionFailed();
    }
    co_return response;
  }

  /// Runs a statement on the transaction's target. The first statement chooses
  /// the target and begins the transaction there.
  boost::asio::awaitable<statement_result> RunOnTarget(statement query,
                                                       bool writes) {
    if (transaction_->group == nullptr) {
      co_return MakeFailure(failure_code::kBusy, "the pool is not known yet");
    }
    operation_context operation = transaction_->operation;
    operation.arrived_at = monotonic_clock::now();
    operation_runner<Codec> runner(gateway_, engine_, operation);
    if (!transaction_->running.has_value()) {
      const statement_result begun =
          co_await runner.Begin(transaction_->begin, transaction_->running);
      RecordDispatch(runner);
      if (begun.failure != failure_code::kNone) {
        gateway_.limiter.Refund(operation.organisation);
        co_return begun;
      }
    }
    last_target_ = transaction_->running->lease.target->record.id;
    co_return co_await runner.RunInTransaction(query, writes,
                                               *transaction_->running);
  }

  void RecordDispatch(const operation_runner<Codec>& runner) {
    last_wait_ = runner.Waited();
    last_target_ = runner.LastTarget();
  }

  /// Ends a transaction after its commit, whether that was acknowledged, failed
  /// or has an unknown outcome.
  void EndCommitted(const statement_result& response) {
    const bool succeeded = response.failure == failure_code::kNone;
    if (succeeded && engine_.MayHaveWritten()) {
      RecordOwnWrite(response);
    }
    const pooled_connection_lease<Codec> lease = transaction_->running->lease;
    transaction_->group->Release(
        lease, succeeded && response.state == transaction_state::kIdle);
    transaction_.reset();
    engine_.OnTransactionEnded();
  }

  /// Rolls the transaction back on its target in the background, and releases
  /// the connection.
  void RollbackOnTarget() {
    if (transaction_->running.has_value()) {
      transaction_->group->RollbackAndRelease(transaction_->running->lease);
      transaction_->running.reset();
    }
  }

  void DropTransaction() {
    if (transaction_.has_value()) {
      RollbackOnTarget();
      transaction_.reset();
      engine_.OnTransactionEnded();
    }
  }

  /// Starts the timer that aborts an idle transaction, so that it does not
  /// occupy a connection. The timeout is shorter while the host shuts down.
  void StartIdleTimer() {
    duration timeout = gateway_.current_catalog->transaction_idle_timeout;
    if (gateway_.shutdown.has_value()) {
      timeout = std::min(timeout, gateway_.shutdown->TransactionIdleTimeout());
    }
    idle_timer_generation_ = ++activity_;
    timer_.expires_after(timeout);
    timer_.async_wait(
        [weak = this->weak_from_this(), generation = idle_timer_generation_](
            const boost::system::error_code& cancelled) {
          const std::shared_ptr<client_session> self = weak.lock();
          if (!cancelled && self != nullptr) {
            self->AbortIdleTransaction(generation);
          }
        });
  }

  void AbortIdleTransaction(std::uint64_t generation) {
    if (generation == idle_timer_generation_ &&
        engine_.State() == transaction_state::kOpen) {
      Log(log_level::kInfo, "transaction_rested_too_long",
          {{"request", transaction_->begin.id}});
      engine_.OnTransactionFailed();
      RollbackOnTarget();
    }
  }

  /// Logs a statement that took longer than the route's latency objective for a
  /// whole operation.
  void LogIfSlow(const statement& query, duration took) {
    if (took > admission_.route.target_latency) {
      Log(log_level::kInfo, "slow",
          {{"request", query.id},
           {"database", database_},
           {"kind", std::to_string(static_cast<int>(query.kind))},
           {"took_ms", std::to_string(ToMilliseconds(took))},
           {"waited_for_connection_ms",
            std::to_string(ToMilliseconds(last_wait_))}});
    }
  }

  void CountFailure(const std::string& request,
                    const statement_result& response) {
    const std::string_view reason = FailureName(response.failure);
    ++gateway_.counters.failures[std::string(reason)];
    Log(log_level::kInfo, "failed",
        {{"request", request},
         {"database", database_},
         {"organisation", admission_.organisation.name},
         {"pool", admission_.route.pool},
         {"target", last_target_},
         {"reason", std::string(reason)},
         {"detail", response.detail},
         {"configuration", std::to_string(gateway_.current_catalog->version)}});
  }

  gateway_state<Codec>& gateway_;
  caller_connection<Codec> connection_;
  boost::asio::steady_timer timer_;
  session_number number_;
  session_engine engine_;
  std::string database_;
  std::string key_;
  catalog_admission admission_;
  std::optional<open_transaction> transaction_;
  /// Position of the session's last write, which its later reads must include.
  std::optional<session_position> min_position_;
  /// Time for which the current statement waited for a connection.
  duration last_wait_ = duration::zero();
  /// Instance to which the current statement was sent last.
  std::string last_target_;
  bool is_idle_ = false;
  time_point idle_since_;
  /// Counts messages and timer starts, so that an expired timer can tell that
  /// it is outdated.
  std::uint64_t activity_ = 0;
  std::uint64_t idle_timer_generation_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CLIENT_SESSION_H_
