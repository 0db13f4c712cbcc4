#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/wire/message.h"

/// @file
/// Replies that a session generates itself: refusals and errors.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

std::string RetryHint(duration retry_after) {
  const std::chrono::milliseconds rounded =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  return "retry after " + std::to_string(rounded.count()) + " ms";
}

}  // namespace

std::string caller_session::ErrorReply(const request_unit& unit,
                                       const error_message& message) {
  std::string out;
  AppendError(out, message);
  if (unit.ends_batch) {
    transaction_status status = transaction_status::kIdle;
    if (engine_.State() == transaction_state::kFailed) {
      status = transaction_status::kFailed;
    } else if (pinned_.has_value()) {
      status = transaction_status::kInTransaction;
    }
    AppendReadyForQuery(out, status);
  } else {
    skip_to_sync_ = true;
  }
  return out;
}

asio::awaitable<bool> caller_session::Send(std::string bytes) {
  const result<void> written = co_await stream_.Write(bytes);
  co_return written.has_value();
}

asio::awaitable<bool> caller_session::ReplyNotAdmitted(
    const request_unit& unit, const admission& refused) {
  organisation_metrics& metrics =
      runtime_.Metrics().organisations[identity_.organisation];
  error_message message{error_severity::kError, "", "",
                        RetryHint(refused.retry_after)};
  if (refused.grantor_unresponsive) {
    ++metrics.refused_by_load;
    message.code = sqlstate::kCannotConnectNow;
    message.message = "not run: nobody could be asked in time whether \"" +
                      identity_.organisation + "\" is within its rate";
  } else {
    ++metrics.refused_by_limit;
    message.code = sqlstate::kConfigurationLimitExceeded;
    message.message = "not run: organisation \"" + identity_.organisation +
                      "\" is over its rate";
  }
  const std::string reply = ErrorReply(unit, message);
  co_return co_await Send(reply);
}

asio::awaitable<bool> caller_session::ReplyRefusal(const request_unit& unit,
                                                   const refusal& refused) {
  organisation_metrics& metrics =
      runtime_.Metrics().organisations[identity_.organisation];
  ++metrics.refused_by_load;
  error_message message{error_severity::kError, "", "",
                        RetryHint(refused.retry_after)};
  switch (refused.reason) {
    case refusal_reason::kOverloaded:
      message.code = sqlstate::kTooManyConnections;
      message.message = "not run: too many statements are waiting for pool \"" +
                        identity_.pool + "\"";
      break;
    case refusal_reason::kNoInstance:
      message.code = sqlstate::kCannotConnectNow;
      message.message = "not run: no instance of pool \"" + identity_.pool +
                        "\" could take the statement in time";
      break;
    case refusal_reason::kHistoryLost:
      message.code = sqlstate::kLostHistory;
      message.message =
          "not run: the session's position was discarded when a new primary of "
          "pool \"" +
          identity_.pool + "\" was promoted";
      message.hint = "start a new session and check the last write";
      break;
  }
  const std::string reply = ErrorReply(unit, message);
  co_return co_await Send(reply);
}

}  // namespace sassafraswick
