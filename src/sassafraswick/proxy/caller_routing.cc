#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/wire/message.h"

/// @file
/// Routes a request unit to a target, retries it where that is safe, and
/// applies the result to the session.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kSerializationFailure = "40001";
constexpr std::string_view kInFailedTransaction = "25P02";

}  // namespace

request_entry caller_session::MakeRequest(const request_unit& unit,
                                          time_point deadline) const {
  const configuration& current = *runtime_.Configuration();
  request_entry request;
  request.organisation = identity_.organisation;
  request.deadline = deadline;
  const auto owner = current.tables.organisations.find(identity_.organisation);
  if (owner != current.tables.organisations.end()) {
    request.weight = owner->second.weight;
  }
  const bool reads = unit.combined.kind == statement_kind::kRead ||
                     unit.combined.kind == statement_kind::kBeginReadOnly;
  request.access = reads ? access_kind::kRead : access_kind::kWrite;
  std::optional<duration> staleness = settings_.max_staleness;
  const auto entry = current.tables.routes.find(identity_.route);
  if (entry != current.tables.routes.end()) {
    request.priority = entry->second.priority;
  }
  if (!staleness.has_value() && !settings_.has_token &&
      entry != current.tables.routes.end()) {
    staleness = entry->second.max_staleness;
  }
  request.requirement.max_staleness = staleness;
  if (settings_.has_token || staleness.has_value()) {
    request.requirement.min_point = settings_.min_point;
  }
  return request;
}

asio::awaitable<bool> caller_session::ServeRouted(request_unit& unit) {
  const std::shared_ptr<const configuration> current = runtime_.Configuration();
  const auto entry = current->tables.routes.find(identity_.route);
  if (entry == current->tables.routes.end()) {
    co_return false;
  }
  pool_ = runtime_.FindPool(entry->second.pool);
  const time_point started = monotonic_clock::now();
  request_entry request = MakeRequest(unit, started + StatementTimeout());
  const bool reads = request.access == access_kind::kRead;
  attempt current_attempt;
  current_attempt.deadline = request.deadline;
  current_attempt.attempts_made = 0;
  current_attempt.repeatable = reads || settings_.idempotent ||
                               unit.combined.kind == statement_kind::kBegin;
  runtime_.Retries().RecordRequest();
  const admission admitted = co_await runtime_.Limits().Admit(
      identity_.organisation, request.deadline);
  if (!admitted.admitted) {
    co_return co_await ReplyNotAdmitted(unit, admitted);
  }
  while (true) {
    const acquire_result acquired = co_await pool_->Acquire(request, id_);
    if (const refusal* refused = std::get_if<refusal>(&acquired)) {
      co_return co_await ReplyRefusal(unit, *refused);
    }
    const connection_lease lease = std::get<connection_lease>(acquired);
    if (!stream_.IsOpen()) {
      // The session was closed while it waited, perhaps as its key is
      // withdrawn.
      pool_->Release(lease, !lease.connection->IsStale());
      co_return false;
    }
    ++current_attempt.attempts_made;
    if (lease.connection->IsStale()) {
      pool_->Release(lease, false);
      current_attempt.state = attempt_state::kNotSent;
    } else {
      relay_outcome outcome = co_await RunUnit(unit, lease, !reads);
      if (outcome.end == relay_end::kComplete) {
        organisation_metrics& metrics =
            runtime_.Metrics().organisations[identity_.organisation];
        ++metrics.admitted;
        const bool finished = co_await FinishUnit(
            unit, lease, std::move(outcome), lease.on_primary && !reads);
        metrics.latency.Record(std::chrono::duration_cast<duration>(
            monotonic_clock::now() - started));
        co_return finished;
      }
      const bool rejected = outcome.end == relay_end::kNeedsPrimary;
      pool_->Release(lease, rejected);
      if (outcome.end == relay_end::kCallerLost) {
        co_return false;
      }
      current_attempt.state =
          rejected ? attempt_state::kRejected : attempt_state::kSent;
      current_attempt.response_begun = outcome.response_begun;
      request.needs_primary = request.needs_primary || rejected;
    }
    const failure_action action = DecideAfterFailure(
        current_attempt, runtime_.Retries(), monotonic_clock::now());
    if (action == failure_action::kCloseConnection) {
      co_return false;
    }
    if (action == failure_action::kReportUnknown) {
      ++pool_->Counts().outcome_unknown;
      const std::string reply = ErrorReply(
          unit,
          {error_severity::kError, std::string(sqlstate::kUnknownOutcome),
           "outcome unknown: the connection to the target was lost after the "
           "statement was sent",
           ""});
      co_return co_await Send(reply);
    }
    if (action == failure_action::kReportNotRun) {
      co_return co_await ReplyRefusal(
          unit, {0, refusal_reason::kNoInstance, std::chrono::seconds(1)});
    }
    ++pool_->Counts().retries;
    if (current_attempt.state != attempt_state::kRejected) {
      co_await Sleep(
          RetryDelay(current_attempt.attempts_made, pool_->Random()));
    }
  }
}

asio::awaitable<bool> caller_session::ServePinned(request_unit& unit,
                                                  bool writes) {
  const connection_lease lease = *pinned_;
  const bool replaced =
      lease.on_primary && CurrentTerm(pool_->Group()) > lease.term;
  const bool ends = unit.combined.kind == statement_kind::kCommit ||
                    unit.combined.kind == statement_kind::kRollback;
  const bool reads = unit.combined.kind == statement_kind::kRead;
  relay_outcome outcome;
  outcome.end = relay_end::kTargetLost;
  if (!replaced) {
    if (writes) {
      engine_.OnWrite();
    }
    outcome = co_await RunUnit(unit, lease, lease.on_primary && !reads);
  }
  if (outcome.end == relay_end::kComplete) {
    co_return co_await FinishUnit(unit, lease, std::move(outcome),
                                  lease.on_primary && engine_.MayHaveWritten());
  }
  pinned_.reset();
  pool_->Release(lease, false);
  if (outcome.end == relay_end::kCallerLost || outcome.response_begun) {
    co_return false;
  }
  const bool may_have_ended = !replaced && (ends || !unit.is_simple);
  const failure_code failure = engine_.FailureOnConnectionLoss(may_have_ended);
  if (failure == failure_code::kInDoubt) {
    engine_.OnTransactionEnded();
    ++pool_->Counts().outcome_unknown;
    const std::string reply = ErrorReply(
        unit, {error_severity::kError, std::string(sqlstate::kUnknownOutcome),
               "outcome unknown: the target was lost while the transaction was "
               "being ended",
               ""});
    co_return co_await Send(reply);
  }
  engine_.OnTransactionFailed();
  const std::string reply = ErrorReply(
      unit, {error_severity::kError, std::string(kSerializationFailure),
             "transaction was rolled back: its target was lost or replaced",
             "repeat the transaction"});
  co_return co_await Send(reply);
}

asio::awaitable<bool> caller_session::ReplyRolledBack(
    const request_unit& unit) {
  std::string out;
  if (!unit.is_simple) {
    for (std::size_t i = 0; i < unit.prepared.size(); ++i) {
      AppendEmptyFrame(out, backend::kParseComplete);
    }
    AppendEmptyFrame(out, '2');  // BindComplete
    if (unit.describes) {
      AppendEmptyFrame(out, 'n');  // NoData
    }
  }
  AppendCommandComplete(out, "ROLLBACK");
  AppendReadyForQuery(out, transaction_status::kIdle);
  co_return co_await Send(std::move(out));
}

asio::awaitable<bool> caller_session::ReplyDecision(
    const request_unit& unit, const statement_result& response) {
  const bool failed = response.failure == failure_code::kTransactionFailed;
  const std::string reply =
      ErrorReply(unit, {error_severity::kError,
                        std::string(failed ? kInFailedTransaction
                                           : sqlstate::kFeatureNotSupported),
                        response.detail + (failed ? "" : ", not run"), ""});
  co_return co_await Send(reply);
}

asio::awaitable<bool> caller_session::FinishUnit(const request_unit& unit,
                                                 const connection_lease& lease,
                                                 relay_outcome outcome,
                                                 bool may_have_written) {
  const bool transaction_ended =
      unit.ends_batch && outcome.status == transaction_status::kIdle;
  const std::optional<log_point> position = lease.connection->Position();
  bool acknowledged = true;
  if (transaction_ended && may_have_written && !outcome.withheld.empty()) {
    durability write_durability = durability::kUnknown;
    if (position.has_value()) {
      write_durability = co_await pool_->AwaitDurable(
          lease.term, *position, monotonic_clock::now() + StatementTimeout());
    }
    acknowledged = write_durability == durability::kDurable;
  }
  pool_counts& counts = pool_->Counts();
  if (transaction_ended) {
    counts.writes += may_have_written ? 1 : 0;
    counts.reads_on_primary += !may_have_written && lease.on_primary ? 1 : 0;
    counts.reads_on_replica += lease.on_primary ? 0 : 1;
  }
  std::string out = std::move(outcome.unsent);
  if (acknowledged) {
    out += outcome.withheld;
    if (position.has_value()) {
      Advance(settings_.latest_point, *position);
      if (may_have_written) {
        Advance(settings_.min_point, *position);
      }
      pool_->RecordPosition(lease.connection->Instance(), *position);
    }
    AppendToken(out);
  } else {
    ++counts.outcome_unknown;
    AppendError(out,
                {error_severity::kError, std::string(sqlstate::kUnknownOutcome),
                 "outcome unknown: the primary was replaced, or no majority of "
                 "the group confirmed the write in time",
                 ""});
  }
  if (unit.ends_batch) {
    AppendReadyForQuery(out, outcome.status);
  } else {
    skip_to_sync_ = outcome.failed;
  }
  if (transaction_ended) {
    pinned_.reset();
    engine_.OnTransactionEnded();
    pool_->Release(lease, acknowledged);
  } else {
    if (!pinned_.has_value()) {
      engine_.OnTransactionOpened(unit.combined.kind == statement_kind::kWrite);
    }
    pinned_ = lease;
  }
  co_return co_await Send(std::move(out));
}

}  // namespace sassafraswick
