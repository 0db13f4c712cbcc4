#include "sassafraswick/proxy/caller_session.h"

#include <algorithm>

#include "sassafraswick/core/log.h"
#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxUnitBytes = 16'777'216;
/// Number of copies of a unit that exist while it runs.
constexpr std::size_t kUnitCopies = 3;
/// Time for a caller to read the shutdown notice before its connection is
/// closed.
constexpr duration kShutdownReadTimeout = std::chrono::seconds(1);
constexpr duration kLoginTimeout = std::chrono::seconds(10);
constexpr duration kIdleTransactionTimeout = std::chrono::seconds(60);

}  // namespace

caller_session::caller_session(host_runtime& runtime, stream_socket socket)
    : runtime_(runtime),
      stream_(std::move(socket)),
      activity_started_at_(monotonic_clock::now()) {}

caller_session::~caller_session() {
  ReleaseConnections();
  runtime_.Unregister(id_);
}

asio::awaitable<void> caller_session::Run() {
  const std::shared_ptr<caller_session> self = shared_from_this();
  id_ = runtime_.Register(self);
  engine_ = session_engine(id_, response_policy::kTarget);
  ++runtime_.Metrics().sessions_opened;
  if (!co_await Start()) {
    stream_.Close();
    co_return;
  }
  bool open = true;
  while (open) {
    activity_ = activity::kIdle;
    activity_started_at_ = monotonic_clock::now();
    input_.ShrinkIfEmpty();
    UpdateHeld(0);
    ++units_read_;
    request_started_ = !input_.Data().empty();
    if (close_when_idle_ && !pinned_.has_value()) {
      AnnounceShutdown();
    }
    std::optional<request_unit> unit = co_await ReadUnit();
    if (!unit.has_value()) {
      break;
    }
    if (shutdown_announced_at_.has_value()) {
      continue;
    }
    activity_ = activity::kBusy;
    activity_started_at_ = monotonic_clock::now();
    input_.ShrinkIfEmpty();
    UpdateHeld(kUnitCopies * unit->bytes.size());
    if (is_counted_ && runtime_.Held().IsExceeded()) {
      co_await Reject(sqlstate::kOutOfMemory,
                      "not run: the host holds too much for its callers");
      break;
    }
    open = co_await Serve(*unit);
  }
  ReleaseConnections();
  stream_.Close();
}

void caller_session::ReleaseConnections() {
  if (pinned_.has_value()) {
    pool_->RollbackAndRelease(std::move(*pinned_));
    pinned_.reset();
    engine_.OnTransactionEnded();
  }
}

std::optional<std::uint64_t> caller_session::CurrentTransfer() const {
  const std::optional<std::uint64_t> write = stream_.WriteInProgress();
  if (write.has_value()) {
    return 2 * *write + 1;
  }
  if (activity_ == activity::kIdle && request_started_) {
    return 2 * units_read_;
  }
  return std::nullopt;
}

void caller_session::UpdateHeld(std::size_t unit_bytes) {
  const std::size_t bytes =
      input_.Capacity() + unit_bytes + engine_.SessionState().HeldBytes();
  const bool counts = bytes > kUncountedBytes && stream_.IsOpen();
  if (counts || is_counted_) {
    is_counted_ = counts;
    runtime_.Held().Set(id_, counts ? bytes : 0, activity_ != activity::kBusy);
    runtime_.CloseExcess();
  }
}

void caller_session::CloseForLimit(const std::string& limit) {
  Log(log_level::kWarning, "session_closed_for_limit",
      {{"limit", limit}, {"organisation", identity_.organisation}});
  stream_.Close();
}

void caller_session::CheckAdmission(const configuration& current) {
  if (identity_.pool.empty()) {
    return;
  }
  const auto entry = current.tables.routes.find(identity_.route);
  const bool open = entry != current.tables.routes.end() && entry->second.open;
  const bool key_valid =
      identity_.key_id.empty() ? open : current.keys.contains(identity_.key_id);
  const bool admitted =
      entry != current.tables.routes.end() && key_valid &&
      (open || current.tables.organisations.contains(identity_.organisation));
  if (!admitted) {
    ++runtime_.Metrics().sessions_ended_by_withdrawal;
    CloseWithError(sqlstate::kInvalidAuthorization,
                   "key or route was withdrawn from organisation \"" +
                       identity_.organisation + "\"");
  }
}

void caller_session::CloseWhenIdle() {
  close_when_idle_ = true;
  if (activity_ == activity::kIdle && !pinned_.has_value()) {
    AnnounceShutdown();
  }
}

void caller_session::AnnounceShutdown() {
  const bool request_received = stream_.HasInput() || request_started_;
  if (shutdown_announced_at_.has_value() || request_received) {
    return;
  }
  shutdown_announced_at_ = monotonic_clock::now();
  std::string out;
  AppendError(out,
              {error_severity::kFatal, std::string(sqlstate::kAdminShutdown),
               "host is shutting down, connect again", ""});
  stream_.SendAndShutdownWrite(out);
}

void caller_session::CloseWithError(std::string_view code,
                                    const std::string& message) {
  std::string out;
  if (activity_ == activity::kIdle) {
    AppendError(out, {error_severity::kFatal, std::string(code), message, ""});
  }
  stream_.SendAndClose(out);
  if (pinned_.has_value() && activity_ == activity::kBusy) {
    pinned_->connection->Close();
  }
}

void caller_session::CheckTimeouts(time_point now, bool isolated) {
  const bool login_timed_out = activity_ == activity::kStarting &&
                               now - activity_started_at_ > kLoginTimeout;
  const bool transaction_timed_out =
      activity_ == activity::kIdle && pinned_.has_value() &&
      now - activity_started_at_ > kIdleTransactionTimeout;
  const std::optional<std::uint64_t> transfer = CurrentTransfer();
  if (transfer != watched_transfer_) {
    watched_transfer_ = transfer;
    watched_since_ = now;
  }
  const bool is_slow =
      transfer.has_value() &&
      now - watched_since_ > runtime_.Settings().limits.message_timeout;
  if (is_slow) {
    ++runtime_.Metrics().sessions_closed_for_slowness;
    CloseForLimit("slow");
  } else if (shutdown_announced_at_.has_value() &&
             now - *shutdown_announced_at_ > kShutdownReadTimeout) {
    stream_.Close();
  } else if (isolated && !identity_.key_id.empty()) {
    CloseWithError(
        sqlstate::kCannotConnectNow,
        "host is cut off and cannot tell whether the key is still valid");
  } else if (login_timed_out || transaction_timed_out) {
    CloseWithError("25P03", "idle-in-transaction or login time limit exceeded");
  }
}

token_scope caller_session::TokenScope() const {
  return {identity_.organisation, identity_.pool};
}

duration caller_session::StatementTimeout() const {
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
      const std::size_t needed =
          header.value().has_value() ? header.value()->size : 0;
      if (unit.bytes.size() + needed > kMaxUnitBytes) {
        ++runtime_.Metrics().protocol_errors;
        co_await Reject(sqlstate::kProgramLimitExceeded,
                        "request exceeds " + std::to_string(kMaxUnitBytes) +
                            " bytes, not run");
        co_return std::nullopt;
      }
      const std::size_t size =
          needed > kIdleReadBytes ? kReadBytes : kIdleReadBytes;
      request_started_ = !input_.Data().empty() || !unit.bytes.empty();
      if (!co_await stream_.Read(input_, size)) {
        co_return std::nullopt;
      }
      if (size == kReadBytes || is_counted_ || !unit.bytes.empty()) {
        UpdateHeld(unit.bytes.capacity());
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
                 input_.Data().substr(0, found.size), engine_.SessionState());
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
      AppendReadyForQuery(out, engine_.State() == transaction_state::kFailed
                                   ? transaction_status::kFailed
                                   : transaction_status::kIdle);
    }
    co_return co_await Send(std::move(out));
  }
  statement combined;
  combined.kind = unit.combined.kind;
  combined.name = unit.combined.name;
  const session_decision decision = engine_.Decide(combined);
  switch (decision.action) {
    case session_action::kProxyParameter:
      co_return co_await ServeProxyStatement(unit);
    case session_action::kRollBack:
      engine_.OnTransactionEnded();
      co_return co_await ReplyRolledBack(unit);
    case session_action::kRunInTransaction:
      co_return co_await ServePinned(unit, decision.writes);
    case session_action::kRunStandalone:
      co_return co_await ServeRouted(unit);
    case session_action::kOpen:
    case session_action::kRespond:
      break;
  }
  co_return co_await ReplyDecision(unit, decision.response);
}

asio::awaitable<bool> caller_session::ServeProxyStatement(
    const request_unit& unit) {
  const bool is_set = unit.combined.kind == statement_kind::kSetProxyParameter;
  result<std::string> value = std::string();
  if (!is_set) {
    value = ShowParameter(settings_, unit.combined.name, runtime_.Tokens(),
                          TokenScope());
  } else if (unit.is_simple || unit.executes) {
    const result<void> set =
        SetParameter(settings_, unit.combined.name, unit.combined.value,
                     runtime_.Tokens(), TokenScope());
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
      AppendEmptyFrame(out, backend::kParseComplete);
    }
    AppendEmptyFrame(out, '2');  // BindComplete
  }
  std::string response;
  if (is_set) {
    if (unit.describes) {
      AppendEmptyFrame(response, 'n');  // NoData
    }
    AppendCommandComplete(response, "SET");
  } else {
    AppendTextResult(response, unit.combined.name, value.value(), "SHOW");
  }
  out += response;
  AppendReadyForQuery(out, pinned_.has_value()
                               ? transaction_status::kInTransaction
                               : transaction_status::kIdle);
  co_return co_await Send(std::move(out));
}

}  // namespace sassafraswick
