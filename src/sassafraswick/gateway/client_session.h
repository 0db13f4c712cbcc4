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
/// One caller's connection: transactions, session values and prepared
/// statements, over any protocol for which there is a codec.

namespace sassafraswick {

/// Time for the first message; `header_timeout_ms` of the users' limits.
inline constexpr duration kStartLimit = std::chrono::seconds(3);
/// Longest wait for a rate token that may come: a round trip to the bank takes
/// a few milliseconds, its look at its sockets up to 50.
inline constexpr duration kTokenPatience = std::chrono::milliseconds(70);

/// Rest after which a session may be ended: a caller that has just connected or
/// been answered often sends its next statement at once.
inline constexpr duration kRestBeforeEnd = std::chrono::milliseconds(60);

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

  /// Serves the caller until it leaves or is turned away.
  boost::asio::awaitable<void> Run() {
    const std::shared_ptr<client_session> self = this->shared_from_this();
    StartTimer(kStartLimit);
    bool open = co_await Start();
    timer_.cancel();
    while (open) {
      at_rest_ = !IsInTransaction();
      rests_since_ = monotonic_clock::now();
      const std::optional<caller_message> message =
          co_await connection_.ReadMessage();
      at_rest_ = false;
      if (!message.has_value() ||
          message->kind == caller_message_kind::kTerminate) {
        break;
      }
      ++activity_;
      open = co_await Serve(*message);
    }
    Close();
  }

  /// Ends the session if it rests outside a transaction and the host stops or
  /// the configuration no longer admits it.
  void EndIfResting(time_point now) {
    const bool rests = at_rest_ && !connection_.HasInput() &&
                       connection_.IsOpen() &&
                       now - rests_since_ >= kRestBeforeEnd;
    if (rests && MustEnd()) {
      Close();
    }
  }

 private:
  /// A transaction from the caller's point of view.
  struct open_transaction {
    statement begin;
    operation_scope scope;
    std::shared_ptr<target_group<Codec>> group;
    /// Set once the first statement went to a target.
    std::optional<running_transaction<Codec>> running;
  };

  [[nodiscard]] bool IsInTransaction() const {
    return transaction_.has_value();
  }

  [[nodiscard]] bool MustEnd() const {
    return gateway_.draining_since.has_value() || !IsAdmitted();
  }

  [[nodiscard]] bool IsAdmitted() const {
    return AdmitCaller(*gateway_.tables, database_, key_).verdict ==
           admission_verdict::kAdmitted;
  }

  void Close() {
    connection_.Close();
    DropTransaction();
  }

  void StartTimer(duration limit) {
    timer_.expires_after(limit);
    timer_.async_wait([weak = this->weak_from_this()](
                          const boost::system::error_code& cancelled) {
      const std::shared_ptr<client_session> self = weak.lock();
      if (!cancelled && self != nullptr) {
        self->Close();
      }
    });
  }

  /// Admits the caller.
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

  /// Looks the caller up in the newest configuration.
  statement_result CheckAdmission() {
    statement_result response;
    admission_ = AdmitCaller(*gateway_.tables, database_, key_);
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
          Fail(failure_code::kMalformed, "not a message");
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
    if (query.text.size() > gateway_.tables->max_statement) {
      response = Fail(failure_code::kTooLarge, "the statement is too long");
      engine_.OnTransactionFailed();
    } else {
      response = co_await CarryOut(query);
    }
    SettleTransaction();
    response.state = engine_.State();
    if (response.failure != failure_code::kNone) {
      CountFailure(query.id, response);
    }
    NoteIfSlow(query, std::chrono::duration_cast<duration>(
                          monotonic_clock::now() - arrived_at));
    const bool sent = co_await connection_.Send(Codec::FormatResult(response));
    const bool turned_away = response.failure == failure_code::kNotAuthorised ||
                             response.failure == failure_code::kUnknownDatabase;
    co_return sent && !turned_away;
  }

  static statement_result Fail(failure_code code, std::string detail) {
    statement_result response;
    response.failure = code;
    response.detail = std::move(detail);
    return response;
  }

  /// Does with a statement what the engine decides.
  boost::asio::awaitable<statement_result> CarryOut(statement query) {
    session_decision decision = engine_.Decide(query);
    switch (decision.action) {
      case session_action::kOpen:
        co_return co_await OpenTransaction(query);
      case session_action::kRunStandalone:
        co_return co_await RunSingle(query, decision.writes);
      case session_action::kRunInTransaction:
        co_return co_await RunInside(query, decision.writes);
      case session_action::kRollBack:
        DropTransaction();
        break;
      case session_action::kRespond:
      case session_action::kProxyParameter:
        break;
    }
    co_return std::move(decision.response);
  }

  /// Brings connection and timer in line with the transaction's state.
  void SettleTransaction() {
    if (engine_.State() == transaction_state::kFailed) {
      ReleaseRunning();
    }
    if (transaction_.has_value()) {
      StartIdleTimer();
    }
  }

  /// Admits one operation: route, key and rate.
  boost::asio::awaitable<statement_result> AdmitOperation() {
    statement_result response = CheckAdmission();
    const bool limited = !admission_.organisation.name.empty();
    if (response.failure != failure_code::kNone || !limited) {
      co_return response;
    }
    const rate_verdict verdict = co_await gateway_.limiter.Admit(
        admission_.organisation, kTokenPatience);
    if (!verdict.admitted) {
      response = Fail(failure_code::kBusy,
                      "over the rate of " + admission_.organisation.name +
                          ", retry in " +
                          std::to_string(RoundUp(verdict.retry_after)) + " ms");
    }
    co_return response;
  }

  static std::int64_t RoundUp(duration span) {
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
  }

  [[nodiscard]] operation_scope MakeScope() const {
    operation_scope scope;
    scope.session = number_;
    scope.route = admission_.route;
    scope.organisation = admission_.organisation.name;
    scope.arrived_at = monotonic_clock::now();
    scope.floor = floor_;
    return scope;
  }

  boost::asio::awaitable<statement_result> RunSingle(statement query,
                                                     bool writes) {
    statement_result admitted = co_await AdmitOperation();
    if (admitted.failure != failure_code::kNone) {
      co_return admitted;
    }
    operation_runner<Codec> runner(gateway_, engine_, MakeScope());
    if (runner.Group() == nullptr) {
      co_return Fail(failure_code::kBusy, "the pool is not known yet");
    }
    statement_result response;
    if (writes) {
      response = co_await runner.Write(query);
      NoteOwnWrite(response);
    } else {
      response = co_await runner.Read(query);
    }
    NoteRunner(runner);
    if (response.failure == failure_code::kBusy) {
      gateway_.limiter.Refund(admission_.organisation.name);
    }
    co_return response;
  }

  void NoteOwnWrite(const statement_result& response) {
    if (response.failure == failure_code::kNone &&
        response.position.has_value()) {
      floor_ = session_floor{*response.position, monotonic_clock::now()};
    }
  }

  boost::asio::awaitable<statement_result> OpenTransaction(statement query) {
    statement_result admitted = co_await AdmitOperation();
    if (admitted.failure != failure_code::kNone) {
      co_return admitted;
    }
    open_transaction opened;
    opened.begin = std::move(query);
    opened.scope = MakeScope();
    opened.group = gateway_.FindGroup(opened.scope.route.pool);
    transaction_ = std::move(opened);
    engine_.OnTransactionOpened(false);
    co_return statement_result();
  }

  boost::asio::awaitable<statement_result> RunInside(statement query,
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

  /// Runs a statement on the transaction's target, which is chosen now if it
  /// has none.
  boost::asio::awaitable<statement_result> RunOnTarget(statement query,
                                                       bool writes) {
    if (transaction_->group == nullptr) {
      co_return Fail(failure_code::kBusy, "the pool is not known yet");
    }
    operation_scope scope = transaction_->scope;
    scope.arrived_at = monotonic_clock::now();
    operation_runner<Codec> runner(gateway_, engine_, scope);
    if (!transaction_->running.has_value()) {
      const statement_result begun =
          co_await runner.Begin(transaction_->begin, transaction_->running);
      NoteRunner(runner);
      if (begun.failure != failure_code::kNone) {
        gateway_.limiter.Refund(scope.organisation);
        co_return begun;
      }
    }
    last_target_ = transaction_->running->lease.slot->record.id;
    co_return co_await runner.RunInside(query, writes, *transaction_->running);
  }

  void NoteRunner(const operation_runner<Codec>& runner) {
    last_wait_ = runner.Waited();
    last_target_ = runner.LastTarget();
  }

  /// Ends a transaction whose commit was answered, or is in doubt.
  void EndCommitted(const statement_result& response) {
    const bool succeeded = response.failure == failure_code::kNone;
    if (succeeded && engine_.MayHaveWritten()) {
      NoteOwnWrite(response);
    }
    const link_lease<Codec> lease = transaction_->running->lease;
    transaction_->group->Release(
        lease, succeeded && response.state == transaction_state::kIdle);
    transaction_.reset();
    engine_.OnTransactionEnded();
  }

  /// Rolls back on the target.
  void ReleaseRunning() {
    if (transaction_->running.has_value()) {
      transaction_->group->RollbackAndRelease(transaction_->running->lease);
      transaction_->running.reset();
    }
  }

  void DropTransaction() {
    if (transaction_.has_value()) {
      ReleaseRunning();
      transaction_.reset();
      engine_.OnTransactionEnded();
    }
  }

  /// Gives up a transaction that rests too long, so that it does not hold a
  /// connection. A stopping host is less patient.
  void StartIdleTimer() {
    duration limit = gateway_.tables->transaction_idle;
    if (gateway_.draining_since.has_value()) {
      limit = std::min(limit, gateway_.drain_transactions);
    }
    idle_timer_generation_ = ++activity_;
    timer_.expires_after(limit);
    timer_.async_wait(
        [weak = this->weak_from_this(), generation = idle_timer_generation_](
            const boost::system::error_code& cancelled) {
          const std::shared_ptr<client_session> self = weak.lock();
          if (!cancelled && self != nullptr) {
            self->GiveUpTransaction(generation);
          }
        });
  }

  void GiveUpTransaction(std::uint64_t generation) {
    if (generation == idle_timer_generation_ &&
        engine_.State() == transaction_state::kOpen) {
      Log(log_level::kInfo, "transaction_rested_too_long",
          {{"request", transaction_->begin.id}});
      engine_.OnTransactionFailed();
      ReleaseRunning();
    }
  }

  /// Logs a statement that alone used up the operation's objective.
  void NoteIfSlow(const statement& query, duration took) {
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
         {"configuration", std::to_string(gateway_.tables->version)}});
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
  /// Own writes: what every read must show.
  std::optional<session_floor> floor_;
  /// Time that the current statement waited for a connection.
  duration last_wait_ = duration::zero();
  /// Instance that it was sent to last.
  std::string last_target_;
  bool at_rest_ = false;
  time_point rests_since_;
  /// Counts messages and timers, so that a late timer does nothing.
  std::uint64_t activity_ = 0;
  std::uint64_t idle_timer_generation_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CLIENT_SESSION_H_
