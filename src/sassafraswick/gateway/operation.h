#ifndef SASSAFRASWICK_GATEWAY_OPERATION_H_
#define SASSAFRASWICK_GATEWAY_OPERATION_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/read_plan.h"
#include "sassafraswick/gateway/read_race.h"
#include "sassafraswick/gateway/retry_hint.h"
#include "sassafraswick/gateway/statement_batch.h"
#include "sassafraswick/gateway/statement_sender.h"
#include "sassafraswick/session/session_engine.h"

/// @file
/// Runs the statements of one operation on targets: chooses an instance,
/// retries statements that were not run, and checks that results are as fresh
/// as the route requires.

namespace sassafraswick {

/// A transaction that has begun on a target.
template <session_codec Codec>
struct running_transaction {
  pooled_connection_lease<Codec> lease;
  term_number term = 0;
  /// Results of reads may be returned only under a valid primary lease.
  bool needs_primary_lease = false;
};

/// When a commit was sent, and what was known of its primary then.
struct sent_commit {
  time_point sent_at;
  std::optional<log_point> known_before;
};

/// Runs the statements of one operation.
template <session_codec Codec>
class operation_runner {
 public:
  operation_runner(gateway_state<Codec>& gateway, session_engine& engine,
                   operation_context operation)
      : gateway_(gateway),
        engine_(engine),
        operation_(std::move(operation)),
        group_(gateway.FindGroup(operation_.route.pool)) {}

  /// Runs a read outside a transaction, and retries it on other instances.
  boost::asio::awaitable<statement_result> Read(statement query) {
    const auto plan = [this](const std::vector<std::string>& tried) {
      return PlanRead(*group_, operation_, tried);
    };
    const auto run = [this, &query](
                         const read_plan<Codec>& chosen_plan,
                         const pooled_connection_lease<Codec>& lease) {
      return ReadOn(query, chosen_plan, lease);
    };
    const statement_result response = co_await DispatchWithRetries(
        query.id, lease_use::kSingleRead, operation_.Deadline(), plan, run);
    co_return response;
  }

  /// Runs a write outside a transaction on the primary. It is retried only if
  /// it is certain that it was not run.
  boost::asio::awaitable<statement_result> Write(statement query) {
    statement_result response = MakeBusy("the group has no primary at present");
    while (true) {
      const std::shared_ptr<target_state<Codec>> primary =
          AvailablePrimary(*group_);
      if (primary == nullptr) {
        const bool changed = co_await WaitForGroup(false);
        if (changed) {
          continue;
        }
        co_return ToCallerFailure(response);
      }
      const lease_request request = MakeLeaseRequest(
          operation_, lease_use::kSingleWrite, operation_.DispatchDeadline());
      const pooled_connection_lease<Codec> lease =
          co_await group_->Acquire(primary, request);
      RecordLease(lease);
      if (lease.connection == nullptr) {
        response = MakeBusy("no connection to the primary is free");
        if (lease.rejected || lease.retry_after > duration::zero()) {
          // Another primary would not make room: its predecessor responds.
          co_return WithRetryTime(std::move(response));
        }
      } else {
        response = co_await WriteOn(query, lease);
        const bool not_run = response.failure == failure_code::kReadOnly ||
                             response.failure == failure_code::kMisrouted;
        if (!not_run) {
          co_return response;
        }
      }
      const bool changed = co_await WaitForGroup(false);
      if (!changed) {
        co_return ToCallerFailure(response);
      }
    }
  }

  /// Begins a transaction on a target.
  /// @param begin The caller's statement.
  /// @param transaction Set on success.
  /// @return The failure for the caller, or a success that must not be sent to
  /// it: the caller already has the response to its BEGIN.
  boost::asio::awaitable<statement_result> Begin(
      statement begin, std::optional<running_transaction<Codec>>& transaction) {
    const bool read_only = begin.kind == statement_kind::kBeginReadOnly;
    const auto plan = [this, read_only](const std::vector<std::string>& tried) {
      return read_only ? PlanRead(*group_, operation_, tried)
                       : PlanTransaction();
    };
    running_transaction<Codec> begun;
    const auto run = [this, &begin, &begun](
                         const read_plan<Codec>& chosen_plan,
                         const pooled_connection_lease<Codec>& lease) {
      begun.lease = lease;
      begun.needs_primary_lease = chosen_plan.needs_primary_lease;
      return BeginOn(begin, chosen_plan, lease);
    };
    const statement_result response =
        co_await DispatchWithRetries(begin.id, lease_use::kTransaction,
                                     operation_.DispatchDeadline(), plan, run);
    if (response.failure == failure_code::kNone) {
      begun.term = group_->View().term;
      transaction = begun;
    }
    co_return response;
  }

  /// Runs a statement or the commit of a transaction.
  boost::asio::awaitable<statement_result> RunInTransaction(
      statement query, bool writes, running_transaction<Codec>& transaction) {
    const bool commits = query.kind == statement_kind::kCommit;
    if (transaction.lease.target->IsEvacuated(monotonic_clock::now())) {
      transaction.lease.connection->Close();
      statement_result aborted;
      aborted.failure = failure_code::kAborted;
      aborted.detail = "the instance's availability zone is evacuated";
      co_return aborted;
    }
    if (writes) {
      engine_.OnWrite();
    }
    const bool is_write = commits ? engine_.MayHaveWritten() : writes;
    if (commits && is_write) {
      group_->PrepareCommit();
    }
    const std::optional<log_point> known_before = group_->KnownPosition();
    const sent_statement sent =
        co_await SendOn(query, std::nullopt, transaction.lease,
                        operation_.route.statement_timeout);
    statement_result response = sent.response;
    target_state<Codec>& target = *transaction.lease.target;
    if (response.failure == failure_code::kNoAnswer) {
      response.failure = engine_.FailureOnConnectionLoss(commits);
      response.detail = response.failure == failure_code::kInDoubt
                            ? "no answer to the commit from the target"
                            : "no answer from the target; rolled back";
      co_return response;
    }
    RecordStatement(is_write, target, sent.sent_at);
    if (response.failure == failure_code::kNone && commits && is_write) {
      const sent_commit commit = {sent.sent_at, known_before};
      co_return co_await PassOnCommit(
          target, std::move(response), commit,
          sent.sent_at + operation_.route.statement_timeout);
    }
    const bool reads = !commits && !writes;
    if (response.failure == failure_code::kNone && reads &&
        transaction.needs_primary_lease) {
      const bool permitted = co_await group_->AwaitPrimaryLease(
          target.record.id, ResponseTerm(response, transaction.term),
          operation_.Deadline());
      if (!permitted) {
        response = MakeBusy("the primary may have been replaced");
        response.failure = failure_code::kAborted;
      }
    }
    co_return response;
  }

  [[nodiscard]] const std::shared_ptr<target_group<Codec>>& Group() const {
    return group_;
  }
  /// Total time spent waiting for connections.
  [[nodiscard]] duration Waited() const { return waited_; }
  /// Instance to which the operation was dispatched last; empty if none.
  [[nodiscard]] const std::string& LastTarget() const { return last_target_; }

 private:
  /// Dispatches an operation to one instance after another until one runs it.
  /// @param request_id Identifier of the operation in the log.
  /// @param deadline Time after which no further attempt is made.
  /// @param plan Chooses an instance, given the identifiers of those already
  /// tried.
  /// @param run Runs the operation over a connection and, unless a transaction
  /// began on it, releases the connection.
  template <typename Plan, typename Run>
  boost::asio::awaitable<statement_result> DispatchWithRetries(
      std::string request_id, lease_use use, time_point deadline, Plan plan,
      Run run) {
    std::vector<std::string> tried;
    std::vector<std::string> lagged;
    statement_result response = MakeBusy("no instance is ready");
    while (true) {
      const read_plan<Codec> chosen_plan = plan(tried);
      if (chosen_plan.target == nullptr) {
        const bool changed = co_await WaitForGroup(chosen_plan.awaits_proof);
        if (changed) {
          continue;
        }
        co_return ToCallerFailure(response);
      }
      if (chosen_plan.wait > duration::zero()) {
        co_await Sleep(chosen_plan.wait);
      }
      const std::string& id = chosen_plan.target->record.id;
      const bool had_no_room = retry_after_.has_value() && Contains(tried, id);
      if (had_no_room) {
        co_return ToCallerFailure(response);
      }
      const lease_request request =
          MakeLeaseRequest(operation_, use, operation_.DispatchDeadline());
      const pooled_connection_lease<Codec> lease =
          co_await group_->Acquire(chosen_plan.target, request);
      RecordLease(lease);
      if (lease.connection == nullptr) {
        response =
            WithRetryTime(MakeBusy("no connection to an instance is free"));
      } else {
        response = co_await run(chosen_plan, lease);
        if (response.failure == failure_code::kNone || !IsRetryable(response)) {
          co_return response;
        }
      }
      RecordRetry(request_id, chosen_plan, response);
      if (Contains(tried, id) || monotonic_clock::now() >= deadline) {
        co_return ToCallerFailure(response);
      }
      // A lagging replica's response shows when it will have caught up, so it
      // gets a second attempt.
      const bool may_catch_up =
          response.failure == failure_code::kLagging && !Contains(lagged, id);
      (may_catch_up ? lagged : tried).push_back(id);
    }
  }

  static bool Contains(const std::vector<std::string>& ids,
                       const std::string& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  }

  /// Plans where to begin a transaction that may write.
  [[nodiscard]] read_plan<Codec> PlanTransaction() const {
    read_plan<Codec> chosen_plan;
    chosen_plan.term = group_->View().term;
    chosen_plan.after = PositionForRead(group_->View(), operation_);
    chosen_plan.needs_primary_lease = !chosen_plan.after.has_value();
    chosen_plan.target = AvailablePrimary(*group_);
    return chosen_plan;
  }

  /// Returns the term of the instance when it responded. An instance that is
  /// the primary of this term later was its primary then, too.
  static term_number ResponseTerm(const statement_result& response,
                                  term_number planned) {
    return response.position.has_value() ? response.position->term : planned;
  }

  /// Makes the response to an operation that was not run.
  [[nodiscard]] statement_result MakeBusy(std::string reason) const {
    statement_result response;
    response.failure = failure_code::kBusy;
    response.detail = std::move(reason);
    return response;
  }

  /// Adds the time after which an instance is expected to have room, if that is
  /// known.
  [[nodiscard]] statement_result WithRetryTime(
      statement_result response) const {
    if (retry_after_.has_value()) {
      response.detail += ", " + RetryHint(*retry_after_);
    }
    return response;
  }

  /// Maps the last failure of an operation to one that the caller may see.
  [[nodiscard]] statement_result ToCallerFailure(
      statement_result response) const {
    if (response.failure == failure_code::kNoAnswer ||
        response.failure == failure_code::kLagging ||
        response.failure == failure_code::kReadOnly ||
        response.failure == failure_code::kMisrouted ||
        response.failure == failure_code::kTooManyConnections) {
      response.detail = "no instance could run it (" +
                        std::string(FailureName(response.failure)) + ")";
      response.failure = failure_code::kBusy;
    }
    return response;
  }

  /// Waits for a change of the group until the dispatch deadline.
  /// @param request_proof Also request a proof of leadership.
  /// @return False if the deadline passed first.
  boost::asio::awaitable<bool> WaitForGroup(bool request_proof) {
    const time_point now = monotonic_clock::now();
    if (now >= operation_.DispatchDeadline()) {
      co_return false;
    }
    if (group_->View().primary.empty()) {
      group_->StartResolvingPrimary();
    }
    if (request_proof) {
      group_->RequestProof();
    }
    const bool changed =
        co_await group_->WaitForChange(std::chrono::duration_cast<duration>(
            operation_.DispatchDeadline() - now));
    co_return changed;
  }

  void RecordLease(const pooled_connection_lease<Codec>& lease) {
    waited_ += lease.waited;
    gateway_.counters.wait.Record(lease.waited);
    last_target_ = lease.target->record.id;
    if (lease.retry_after > duration::zero()) {
      retry_after_ =
          std::min(retry_after_.value_or(lease.retry_after), lease.retry_after);
    }
  }

  /// Sends a statement, and updates the target's state from the response.
  /// @param after Log position that the target must have reached.
  /// @param timeout Time after which the connection is closed.
  boost::asio::awaitable<sent_statement> SendOn(
      statement query, std::optional<log_point> after,
      pooled_connection_lease<Codec> lease, duration timeout) {
    statement_batch batch = BuildBatch<Codec>(engine_.SessionState(),
                                              *lease.connection, query, after);
    sent_statement sent = co_await SendBatch<Codec>(group_, std::move(lease),
                                                    std::move(batch), timeout);
    co_return sent;
  }

  boost::asio::awaitable<statement_result> ReadOn(
      statement query, read_plan<Codec> plan,
      pooled_connection_lease<Codec> lease) {
    const bool permitted_now =
        IsPrimaryLeaseValid(group_->View(), plan.target->record.id, plan.term,
                            monotonic_clock::now());
    if (plan.needs_primary_lease && !permitted_now) {
      group_->RequestProof();
    }
    const std::shared_ptr<read_race<Codec>> race =
        std::make_shared<read_race<Codec>>(gateway_, group_, std::move(query),
                                           operation_);
    read_attempt<Codec> first;
    first.plan = std::move(plan);
    first.lease = std::move(lease);
    const read_attempt<Codec> ended =
        co_await race->Run(engine_.SessionState(), std::move(first));
    const statement_result& response = ended.sent.response;
    if (response.failure != failure_code::kNone) {
      co_return response;
    }
    last_target_ = ended.lease.target->record.id;
    if (ended.plan.needs_primary_lease) {
      const bool permitted = co_await group_->AwaitPrimaryLease(
          last_target_, ResponseTerm(response, ended.plan.term),
          operation_.Deadline());
      if (!permitted) {
        co_return MakeBusy("the primary may have been replaced");
      }
    }
    co_return response;
  }

  boost::asio::awaitable<statement_result> WriteOn(
      statement query, pooled_connection_lease<Codec> lease) {
    const duration left = std::chrono::duration_cast<duration>(
        operation_.Deadline() - monotonic_clock::now());
    group_->PrepareCommit();
    const std::optional<log_point> known_before = group_->KnownPosition();
    const sent_statement sent =
        co_await SendOn(std::move(query), std::nullopt, lease, left);
    statement_result response = sent.response;
    group_->Release(lease, response.failure != failure_code::kNoAnswer);
    if (response.failure == failure_code::kNoAnswer) {
      response.failure = failure_code::kInDoubt;
    } else if (response.failure == failure_code::kNone) {
      RecordStatement(true, *lease.target, sent.sent_at);
      const sent_commit commit = {sent.sent_at, known_before};
      co_return co_await PassOnCommit(*lease.target, std::move(response),
                                      commit, operation_.Deadline());
    }
    co_return response;
  }

  /// Passes on the acknowledgement of a commit once it is certain that a
  /// promotion cannot lose the commit.
  /// @return A failure of unknown outcome if it is not by the deadline.
  boost::asio::awaitable<statement_result> PassOnCommit(
      target_state<Codec>& target, statement_result response, sent_commit sent,
      time_point deadline) {
    const time_point acknowledged_at = monotonic_clock::now();
    group_->ObserveCommit(target, response, sent.sent_at);
    const term_number term =
        response.position.has_value() ? response.position->term : 0;
    const bool proved =
        co_await group_->AwaitCommitProof(term, acknowledged_at, deadline);
    if (!proved) {
      response = statement_result();
      response.failure = failure_code::kInDoubt;
      response.detail = "the primary may have been replaced";
    } else if (response.position.has_value()) {
      group_->RecordPassedOn(sent.known_before, term);
    }
    co_return response;
  }

  boost::asio::awaitable<statement_result> BeginOn(
      statement begin, read_plan<Codec> plan,
      pooled_connection_lease<Codec> lease) {
    const duration left = std::chrono::duration_cast<duration>(
        operation_.Deadline() - monotonic_clock::now());
    statement_batch batch = BuildBatch<Codec>(
        engine_.SessionState(), *lease.connection, begin, plan.after);
    const duration late_after =
        gateway_.read_times.LateAfter(ResponseClassOf(operation_.route));
    const sent_statement sent = co_await SendWhileResponsive<Codec>(
        gateway_.context, group_, lease, std::move(batch), left, late_after);
    const statement_result& response = sent.response;
    if (response.failure != failure_code::kNone) {
      const bool is_idle = response.failure != failure_code::kNoAnswer &&
                           response.state == transaction_state::kIdle;
      group_->Release(lease, is_idle);
    } else if (begin.kind == statement_kind::kBegin) {
      group_->ObservePrimary(*lease.target, response);
    }
    co_return response;
  }

  void RecordStatement(bool write, target_state<Codec>& target,
                       time_point sent_at) {
    const duration took =
        std::chrono::duration_cast<duration>(monotonic_clock::now() - sent_at);
    if (!write) {
      gateway_.RecordRead(*group_, target, operation_.route, took);
      return;
    }
    group_->ObserveServed(target, StatementClassOf(operation_.route, true),
                          took);
    ++gateway_.counters.writes;
    gateway_.counters.write_latency.Record(took);
  }

  void RecordRetry(const std::string& request, const read_plan<Codec>& plan,
                   const statement_result& response) {
    ++gateway_.counters.retries;
    Log(log_level::kInfo, "not_run_here",
        {{"request", request},
         {"pool", operation_.route.pool},
         {"target", plan.target->record.id},
         {"reason", std::string(FailureName(response.failure))},
         {"after", plan.after.has_value()
                       ? std::to_string(plan.after->term) + "." +
                             std::to_string(plan.after->position)
                       : std::string("-")}});
  }

  gateway_state<Codec>& gateway_;
  session_engine& engine_;
  operation_context operation_;
  std::shared_ptr<target_group<Codec>> group_;
  duration waited_ = duration::zero();
  /// Shortest time after which an instance that rejected the operation is
  /// expected to have room.
  std::optional<duration> retry_after_;
  std::string last_target_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_OPERATION_H_
