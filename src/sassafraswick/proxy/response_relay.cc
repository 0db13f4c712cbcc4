#include "sassafraswick/proxy/response_relay.h"

#include <algorithm>

#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Largest frame accepted from a target, except rows, which are streamed.
constexpr std::size_t kMaxNonRowFrameBytes = 1'048'576;
/// Number of unsent bytes at which a row being streamed is flushed to the
/// caller.
constexpr std::size_t kFlushThresholdBytes = 16'384;
/// Maximum number of bytes withheld after a COMMIT.
constexpr std::size_t kMaxWithheldBytes = 1'048'576;

bool IsData(char type) noexcept {
  return type == backend::kDataRow || type == backend::kCopyData;
}

/// Returns whether a frame completes the response to one extended-protocol
/// message.
bool IsCompletion(char type) noexcept {
  // ParseComplete, BindComplete, CloseComplete, CommandComplete,
  // EmptyQueryResponse, PortalSuspended, NoData and RowDescription.
  constexpr std::string_view kCompletions = "123CIsnT";
  return kCompletions.find(type) != std::string_view::npos;
}

/// Relays one response.
class response_relay {
 public:
  response_relay(target_connection& target, caller_stream& caller,
                 relay_request request)
      : target_(target), caller_(caller), request_(request) {}

  asio::awaitable<relay_outcome> Run() {
    while (!finished_) {
      const result<std::optional<frame_header>> header =
          target_.Input().Header();
      if (!header) {
        co_return TargetLost();
      }
      if (!header.value().has_value()) {
        co_await ReadTarget();
        continue;
      }
      co_await HandleFrame(*header.value());
    }
    co_return std::move(outcome_);
  }

 private:
  relay_outcome TargetLost() {
    outcome_.end = relay_end::kTargetLost;
    return std::move(outcome_);
  }

  void Finish(relay_end reason) {
    outcome_.end = reason;
    finished_ = true;
  }

  /// Sends the pending output to the caller, then reads from the target.
  asio::awaitable<void> ReadTarget() {
    if (!co_await Flush()) {
      co_return;
    }
    const result<void> received =
        co_await ReadMore(target_.Socket(), target_.Input());
    if (!received) {
      Finish(relay_end::kTargetLost);
    }
  }

  /// Sends the pending output, but nothing while a replica may still refuse the
  /// statement, so that it can be retried on the primary.
  asio::awaitable<bool> Flush() {
    if (outcome_.unsent.empty() ||
        (request_.on_replica && !execution_started_)) {
      co_return true;
    }
    outcome_.response_begun = true;
    const result<void> written = co_await caller_.Write(outcome_.unsent);
    outcome_.unsent.clear();
    if (!written) {
      Finish(relay_end::kCallerLost);
    }
    co_return written.has_value();
  }

  asio::awaitable<void> HandleFrame(frame_header header) {
    if (IsData(header.type) && request_.proxy_queries == 0) {
      ReleaseWithheld();
      execution_started_ = true;
      co_await StreamFrame(header.size);
      co_return;
    }
    if (header.size > kMaxNonRowFrameBytes) {
      Finish(relay_end::kTargetLost);
      co_return;
    }
    const std::optional<frame_view> frame = target_.Input().Frame(header);
    if (!frame.has_value()) {
      co_await ReadTarget();
      co_return;
    }
    const std::string_view raw = target_.Input().Data().substr(0, header.size);
    if (request_.proxy_queries > 0) {
      DiscardProxyResponse(*frame);
    } else {
      HandleNonRow(*frame, raw);
    }
    target_.Input().Consume(header.size);
  }

  /// Forwards a row without buffering all of it.
  asio::awaitable<void> StreamFrame(std::size_t size) {
    while (size > 0 && !finished_) {
      const std::string_view data = target_.Input().Data();
      const std::size_t chunk = std::min(size, data.size());
      OutputBuffer().append(data.substr(0, chunk));
      target_.Input().Consume(chunk);
      size -= chunk;
      if (outcome_.withheld.size() > kMaxWithheldBytes) {
        Finish(relay_end::kTargetLost);
        co_return;
      }
      if (outcome_.unsent.size() >= kFlushThresholdBytes && !co_await Flush()) {
        co_return;
      }
      if (size > 0) {
        co_await ReadTarget();
      }
    }
  }

  /// Drops the response to a statement of the proxy itself.
  void DiscardProxyResponse(const frame_view& frame) {
    if (frame.type == backend::kErrorResponse) {
      proxy_query_failed_ = true;
    } else if (frame.type == backend::kParameterStatus) {
      target_.HandleParameterStatus(frame);
    } else if (frame.type == backend::kReadyForQuery) {
      --request_.proxy_queries;
      if (proxy_query_failed_) {
        Finish(relay_end::kTargetLost);
      }
    }
  }

  void HandleNonRow(const frame_view& frame, std::string_view raw) {
    switch (frame.type) {
      case backend::kReadyForQuery:
        outcome_.status = static_cast<transaction_status>(
            frame.body.empty() ? 'I' : frame.body.front());
        finished_ = true;
        if (needs_primary_) {
          Finish(relay_end::kNeedsPrimary);
        }
        return;
      case backend::kParameterStatus:
        if (target_.HandleParameterStatus(frame)) {
          outcome_.unsent.append(raw);
        }
        return;
      case backend::kErrorResponse:
        HandleError(frame, raw);
        return;
      case backend::kParseComplete:
        if (request_.proxy_parses > 0) {
          --request_.proxy_parses;
          return;
        }
        ++outcome_.parses_done;
        break;
      case backend::kCloseComplete:
        ++outcome_.closes_done;
        break;
      default:
        break;
    }
    if (needs_primary_) {
      return;
    }
    HandleCompletion(frame, raw);
  }

  void HandleError(const frame_view& frame, std::string_view raw) {
    const std::string code = ParseErrorResponse(frame.body).code;
    if (request_.on_replica && !execution_started_ &&
        code == sqlstate::kReadOnlyTransaction) {
      needs_primary_ = true;
      outcome_.unsent.clear();
      return;
    }
    ReleaseWithheld();
    execution_started_ = true;
    outcome_.failed = true;
    OutputBuffer().append(raw);
    finished_ = !request_.until_ready;
  }

  void HandleCompletion(const frame_view& frame, std::string_view raw) {
    const bool is_notice = frame.type == backend::kNoticeResponse;
    const bool is_command_complete = frame.type == backend::kCommandComplete;
    if (!is_notice) {
      ReleaseWithheld();
    }
    execution_started_ = execution_started_ || is_command_complete;
    if (request_.withhold_completion && is_command_complete) {
      outcome_.withheld.append(raw);
      commit_withheld_ = commit_withheld_ || frame.body.starts_with("COMMIT");
    } else if (outcome_.withheld.empty()) {
      outcome_.unsent.append(raw);
    } else {
      outcome_.withheld.append(raw);
    }
    if (!request_.until_ready && IsCompletion(frame.type)) {
      --request_.completions;
      finished_ = request_.completions == 0;
    }
  }

  /// Stops withholding when more messages follow a completion, since it then
  /// did not end the transaction. A COMMIT did: it stays withheld, and so do
  /// all messages after it.
  void ReleaseWithheld() {
    if (!commit_withheld_) {
      outcome_.unsent.append(outcome_.withheld);
      outcome_.withheld.clear();
    }
  }

  /// The buffer for the next bytes, chosen so that their order is kept.
  std::string& OutputBuffer() noexcept {
    return commit_withheld_ ? outcome_.withheld : outcome_.unsent;
  }

  target_connection& target_;
  caller_stream& caller_;
  relay_request request_;
  relay_outcome outcome_;
  bool finished_ = false;
  /// The target has started to execute the caller's statement.
  bool execution_started_ = false;
  bool needs_primary_ = false;
  bool proxy_query_failed_ = false;
  bool commit_withheld_ = false;
};

}  // namespace

asio::awaitable<relay_outcome> RelayResponse(target_connection& target,
                                             caller_stream& caller,
                                             relay_request request) {
  response_relay relay(target, caller, request);
  co_return co_await relay.Run();
}

}  // namespace sassafraswick
