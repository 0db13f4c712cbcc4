#include "sassafraswick/proxy/caller_session.h"

#include <algorithm>

#include "sassafraswick/core/log.h"
#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxUnitSize = 16'777'216;
/// Time a caller has to read that the host is stopping.
constexpr duration kFarewellLimit = std::chrono::seconds(1);
constexpr duration kLoginLimit = std::chrono::seconds(10);
constexpr duration kIdleTransactionLimit = std::chrono::seconds(60);
constexpr std::string_view kRolledBack = "40001";
constexpr std::string_view kInFailedTransaction = "25P02";

}  // namespace

caller_session::caller_session(host_runtime& runtime, stream_socket socket)
    : runtime_(runtime),
      stream_(std::move(socket)),
      active_since_(monotonic_clock::now()) {}

caller_session::~caller_session() {
  ReleaseConnections();
  runtime_.Unregister(id_);
}

asio::awaitable<void> caller_session::Run() {
  const std::shared_ptr<caller_session> self = shared_from_this();
  id_ = runtime_.Register(self);
  ++runtime_.Metrics().sessions_opened;
  if (!co_await Start()) {
    stream_.Close();
    co_return;
  }
  bool open = true;
  while (open) {
    activity_ = activity::kIdle;
    active_since_ = monotonic_clock::now();
    input_.ShrinkIfEmpty();
    request_begun_ = !input_.Data().empty();
    if (end_when_idle_ && !pinned_.has_value()) {
      SayFarewell();
    }
    std::optional<request_unit> unit = co_await ReadUnit();
    if (!unit.has_value()) {
      break;
    }
    if (farewell_at_.has_value()) {
      continue;
    }
    activity_ = activity::kBusy;
    active_since_ = monotonic_clock::now();
    open = co_await Serve(*unit);
  }
  ReleaseConnections();
  stream_.Close();
}

void caller_session::ReleaseConnections() {
  if (pinned_.has_value()) {
    pool_->RollbackAndRelease(std::move(*pinned_));
    pinned_.reset();
  }
}

void caller_session::CheckAdmission(const configuration& version) {
  if (identity_.pool.empty()) {
    return;
  }
  const auto entry = version.tables.routes.find(identity_.route);
  const bool open = entry != version.tables.routes.end() && entry->second.open;
  const bool key_valid =
      identity_.key_id.empty() ? open : version.keys.contains(identity_.key_id);
  const bool admitted =
      entry != version.tables.routes.end() && key_valid &&
      (open || version.tables.organisations.contains(identity_.organisation));
  if (!admitted) {
    ++runtime_.Metrics().sessions_ended_by_withdrawal;
    EndWith(sqlstate::kInvalidAuthorization,
            "key or route was withdrawn from organisation \"" +
                identity_.organisation + "\"");
  }
}

void caller_session::EndWhenIdle() {
  end_when_idle_ = true;
  if (activity_ == activity::kIdle && !pinned_.has_value()) {
    SayFarewell();
  }
}

void caller_session::SayFarewell() {
  const bool request_here = stream_.HasInput() || request_begun_;
  if (farewell_at_.has_value() || request_here) {
    return;
  }
  farewell_at_ = monotonic_clock::now();
  std::string out;
  AppendError(out,
              {error_severity::kFatal, std::string(sqlstate::kAdminShutdown),
               "host is shutting down, connect again", ""});
  stream_.FinishWith(out);
}

void caller_session::EndWith(std::string_view code,
                             const std::string& message) {
  std::string out;
  if (activity_ == activity::kIdle) {
    AppendError(out, {error_severity::kFatal, std::string(code), message, ""});
  }
  stream_.CloseWith(out);
  if (pinned_.has_value() && activity_ == activity::kBusy) {
    pinned_->connection->Close();
  }
}

void caller_session::CheckLimits(time_point now, bool isolated) {
  const bool login_late =
      activity_ == activity::kStarting && now - active_since_ > kLoginLimit;
  const bool transaction_late = activity_ == activity::kIdle &&
                                pinned_.has_value() &&
                                now - active_since_ > kIdleTransactionLimit;
  if (farewell_at_.has_value() && now - *farewell_at_ > kFarewellLimit) {
    stream_.Close();
  } else if (isolated && !identity_.key_id.empty()) {
    EndWith(sqlstate::kCannotConnectNow,
            "host is cut off and cannot tell whether the key is still valid");
  } else if (login_late || transaction_late) {
    EndWith("25P03", "idle-in-transaction or login time limit exceeded");
  }
}

token_scope caller_session::Scope() const {
  return {identity_.organisation, identity_.pool};
}

duration caller_session::Deadline() const {
  const auto entry =
      runtime_.Configuration()->tables.routes.find(identity_.route);
  const bool known = entry != runtime_.Configuration()->tables.routes.end();
  return settings_.deadline.value_or(known ? entry->second.deadline
                                           : route().deadline);
}

asio::awaitable<std::optional<request_unit>> caller_session::ReadUnit() {
  request_unit unit;
  while (true) {
    const result<std::optional<frame_header>> header = input_.Header();
    if (!header) {
      co_await Reject(sqlstate::kProtocolViolation, header.error().message);
      co_return std::nullopt;
    }
    if (!header.value().has_value() ||
        input_.Data().size() < header.value()->size) {
      const std::size_t wanted =
          header.value().has_value() ? header.value()->size : 0;
      if (unit.bytes.size() + wanted > kMaxUnitSize) {
        ++runtime_.Metrics().protocol_errors;
        co_await Reject(sqlstate::kProgramLimitExceeded,
                        "request exceeds " + std::to_string(kMaxUnitSize) +
                            " bytes, not run");
        co_return std::nullopt;
      }
      const std::size_t size =
          wanted > kIdleReadSize ? kReadSize : kIdleReadSize;
      request_begun_ = !input_.Data().empty() || !unit.bytes.empty();
      if (!co_await stream_.Read(input_, size)) {
        co_return std::nullopt;
      }
      continue;
    }
    const frame_header found = *header.value();
    if (found.type == frontend::kTerminate) {
      co_return std::nullopt;
    }
    if (skip_to_sync_ && found.type != frontend::kSync) {
      input_.Consume(found.size);
      continue;
    }
    const result<bool> complete =
        AddFrame(unit, *input_.Frame(found),
                 input_.Data().substr(0, found.size), prepared_);
    input_.Consume(found.size);
    if (!complete) {
      ++runtime_.Metrics().protocol_errors;
      co_await Reject(sqlstate::kProtocolViolation, complete.error().message);
      co_return std::nullopt;
    }
    if (complete.value()) {
      skip_to_sync_ = false;
      co_return unit;
    }
  }
}

asio::awaitable<bool> caller_session::Serve(request_unit& unit) {
  const bool nothing_to_run = unit.expected_completions == 0 && !unit.is_simple;
  if (nothing_to_run && !pinned_.has_value()) {
    std::string out;
    if (unit.ends_batch) {
      AppendReadyForQuery(out, transaction_failed_ ? transaction_status::kFailed
                                                   : transaction_status::kIdle);
    }
    co_return co_await Send(std::move(out));
  }
  if (transaction_failed_) {
    co_return co_await ServeFailedTransaction(unit);
  }
  const statement_kind kind = unit.statement.kind;
  if (kind == statement_kind::kUnsupported) {
    const std::string reply = ErrorReply(
        unit,
        {error_severity::kError, std::string(sqlstate::kFeatureNotSupported),
         unit.statement.name +
             " cannot be used through pooled connections, not run",
         ""});
    co_return co_await Send(reply);
  }
  if (kind == statement_kind::kProxySet || kind == statement_kind::kProxyShow) {
    co_return co_await ServeProxyStatement(unit);
  }
  if (pinned_.has_value()) {
    co_return co_await ServePinned(unit);
  }
  co_return co_await ServeRouted(unit);
}

asio::awaitable<bool> caller_session::ServeProxyStatement(
    const request_unit& unit) {
  const bool is_set = unit.statement.kind == statement_kind::kProxySet;
  result<std::string> value = std::string();
  if (!is_set) {
    value = ShowParameter(settings_, unit.statement.name, runtime_.Tokens(),
                          Scope());
  } else if (unit.is_simple || unit.executes) {
    const result<void> set =
        SetParameter(settings_, unit.statement.name, unit.statement.value,
                     runtime_.Tokens(), Scope());
    if (!set) {
      value = set.error();
    }
  }
  if (!value) {
    const bool unknown = value.error().kind == error_kind::kNotFound;
    const std::string reply = ErrorReply(
        unit, {error_severity::kError,
               std::string(unknown ? sqlstate::kUndefinedParameter
                                   : sqlstate::kInvalidParameterValue),
               value.error().message, ""});
    co_return co_await Send(reply);
  }
  std::string out;
  if (!unit.is_simple) {
    for (std::size_t i = 0; i < unit.prepared.size(); ++i) {
      AppendEmpty(out, backend::kParseComplete);
    }
    AppendEmpty(out, '2');
  }
  std::string answer;
  if (is_set) {
    if (unit.describes) {
      AppendEmpty(answer, 'n');
    }
    AppendCommandComplete(answer, "SET");
  } else {
    AppendTextResult(answer, unit.statement.name, value.value(), "SHOW");
  }
  out += answer;
  AppendReadyForQuery(out, pinned_.has_value()
                               ? transaction_status::kInTransaction
                               : transaction_status::kIdle);
  co_return co_await Send(std::move(out));
}

request_entry caller_session::MakeRequest(const request_unit& unit,
                                          time_point deadline) const {
  const configuration& version = *runtime_.Configuration();
  request_entry request;
  request.organisation = identity_.organisation;
  request.deadline = deadline;
  const auto owner = version.tables.organisations.find(identity_.organisation);
  if (owner != version.tables.organisations.end()) {
    request.weight = owner->second.weight;
  }
  const bool reads = unit.statement.kind == statement_kind::kRead ||
                     unit.statement.kind == statement_kind::kBeginReadOnly;
  request.access = reads ? access_kind::kRead : access_kind::kWrite;
  std::optional<duration> staleness = settings_.max_staleness;
  const auto entry = version.tables.routes.find(identity_.route);
  if (!staleness.has_value() && !settings_.has_token &&
      entry != version.tables.routes.end()) {
    staleness = entry->second.max_staleness;
  }
  request.requirement.max_staleness = staleness;
  if (settings_.has_token || staleness.has_value()) {
    request.requirement.at_least = settings_.floor;
  }
  return request;
}

asio::awaitable<bool> caller_session::ServeRouted(request_unit& unit) {
  const std::shared_ptr<const configuration> version = runtime_.Configuration();
  const auto entry = version->tables.routes.find(identity_.route);
  if (entry == version->tables.routes.end()) {
    co_return false;
  }
  pool_ = runtime_.FindPool(entry->second.pool);
  const time_point started = monotonic_clock::now();
  request_entry request = MakeRequest(unit, started + Deadline());
  const bool reads = request.access == access_kind::kRead;
  attempt tried;
  tried.deadline = request.deadline;
  tried.attempts_made = 0;
  tried.repeatable = reads || settings_.idempotent ||
                     unit.statement.kind == statement_kind::kBegin;
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
    ++tried.attempts_made;
    if (lease.connection->IsStale()) {
      pool_->Release(lease, false);
      tried.state = attempt_state::kNotSent;
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
      tried.state = rejected ? attempt_state::kRejected : attempt_state::kSent;
      tried.answer_begun = outcome.answer_begun;
      request.needs_primary = request.needs_primary || rejected;
    }
    const verdict decided =
        DecideAfterFailure(tried, runtime_.Retries(), monotonic_clock::now());
    if (decided == verdict::kAbort) {
      co_return false;
    }
    if (decided == verdict::kSayUnknown) {
      ++pool_->Counts().outcome_unknown;
      const std::string reply = ErrorReply(
          unit,
          {error_severity::kError, std::string(sqlstate::kUnknownOutcome),
           "outcome unknown: the connection to the target was lost after the "
           "statement was sent",
           ""});
      co_return co_await Send(reply);
    }
    if (decided == verdict::kSayNotRun) {
      co_return co_await ReplyRefusal(
          unit, {0, refusal_reason::kNoInstance, std::chrono::seconds(1)});
    }
    ++pool_->Counts().retries;
    if (tried.state != attempt_state::kRejected) {
      co_await Sleep(RetryDelay(tried.attempts_made, pool_->Random()));
    }
  }
}

asio::awaitable<bool> caller_session::ServePinned(request_unit& unit) {
  const connection_lease lease = *pinned_;
  const bool replaced =
      lease.on_primary && CurrentTerm(pool_->Group()) > lease.term;
  const bool ends = unit.statement.kind == statement_kind::kEnd;
  const bool reads = unit.statement.kind == statement_kind::kRead;
  relay_outcome outcome;
  outcome.end = relay_end::kTargetLost;
  if (!replaced) {
    pinned_wrote_ = pinned_wrote_ || (!reads && !ends);
    outcome = co_await RunUnit(unit, lease, lease.on_primary && !reads);
  }
  if (outcome.end == relay_end::kComplete) {
    co_return co_await FinishUnit(unit, lease, std::move(outcome),
                                  lease.on_primary && pinned_wrote_);
  }
  pinned_.reset();
  pool_->Release(lease, false);
  if (outcome.end == relay_end::kCallerLost || outcome.answer_begun) {
    co_return false;
  }
  if (!replaced && pinned_wrote_ && (ends || !unit.is_simple)) {
    ++pool_->Counts().outcome_unknown;
    const std::string reply = ErrorReply(
        unit, {error_severity::kError, std::string(sqlstate::kUnknownOutcome),
               "outcome unknown: the target was lost while the transaction was "
               "being ended",
               ""});
    co_return co_await Send(reply);
  }
  transaction_failed_ = true;
  const std::string reply = ErrorReply(
      unit, {error_severity::kError, std::string(kRolledBack),
             "transaction was rolled back: its target was lost or replaced",
             "repeat the transaction"});
  co_return co_await Send(reply);
}

asio::awaitable<bool> caller_session::ServeFailedTransaction(
    const request_unit& unit) {
  if (unit.statement.kind != statement_kind::kEnd) {
    const std::string reply = ErrorReply(
        unit, {error_severity::kError, std::string(kInFailedTransaction),
               "current transaction is aborted, commands ignored until end of "
               "transaction block",
               ""});
    co_return co_await Send(reply);
  }
  transaction_failed_ = false;
  std::string out;
  if (!unit.is_simple) {
    for (std::size_t i = 0; i < unit.prepared.size(); ++i) {
      AppendEmpty(out, backend::kParseComplete);
    }
    AppendEmpty(out, '2');
    if (unit.describes) {
      AppendEmpty(out, 'n');
    }
  }
  AppendCommandComplete(out, "ROLLBACK");
  AppendReadyForQuery(out, transaction_status::kIdle);
  co_return co_await Send(std::move(out));
}

asio::awaitable<bool> caller_session::FinishUnit(const request_unit& unit,
                                                 const connection_lease& lease,
                                                 relay_outcome outcome,
                                                 bool may_have_written) {
  const bool idle =
      unit.ends_batch && outcome.status == transaction_status::kIdle;
  const std::optional<log_point> position = lease.connection->Position();
  bool acknowledged = true;
  if (idle && may_have_written && !outcome.held.empty()) {
    durability known = durability::kUnknown;
    if (position.has_value()) {
      known = co_await pool_->AwaitDurable(lease.term, *position,
                                           monotonic_clock::now() + Deadline());
    }
    acknowledged = known == durability::kAcknowledge;
  }
  pool_counts& counts = pool_->Counts();
  if (idle) {
    counts.writes += may_have_written ? 1 : 0;
    counts.reads_on_primary += !may_have_written && lease.on_primary ? 1 : 0;
    counts.reads_on_replica += lease.on_primary ? 0 : 1;
  }
  std::string out = std::move(outcome.unsent);
  if (acknowledged) {
    out += outcome.held;
    if (position.has_value()) {
      Advance(settings_.seen, *position);
      if (may_have_written) {
        Advance(settings_.floor, *position);
      }
      pool_->NotePosition(lease.connection->Instance(), *position);
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
  if (idle) {
    pinned_.reset();
    pinned_wrote_ = false;
    pool_->Release(lease, acknowledged);
  } else {
    if (!pinned_.has_value()) {
      pinned_wrote_ = unit.statement.kind == statement_kind::kWrite;
    }
    pinned_ = lease;
  }
  co_return co_await Send(std::move(out));
}

}  // namespace sassafraswick
