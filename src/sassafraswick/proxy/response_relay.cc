#include "sassafraswick/proxy/response_relay.h"

#include <algorithm>

#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Largest frame, other than rows, that a target may send.
constexpr std::size_t kMaxPlainFrame = 1'048'576;
/// Unsent bytes that are passed on before more is read.
constexpr std::size_t kFlushSize = 16'384;
/// Most bytes kept back behind a COMMIT.
constexpr std::size_t kMaxHeld = 1'048'576;

bool IsData(char type) noexcept {
  return type == backend::kDataRow || type == backend::kCopyData;
}

/// Tells whether a frame ends the answer to one extended-protocol message.
bool IsCompletion(char type) noexcept {
  constexpr std::string_view kCompletions = "123CIsnT";
  return kCompletions.find(type) != std::string_view::npos;
}

/// One answer on its way.
class relay {
 public:
  relay(target_connection& target, caller_stream& caller, relay_request request)
      : target_(target), caller_(caller), request_(request) {}

  asio::awaitable<relay_outcome> Run() {
    while (!ended_) {
      const result<std::optional<frame_header>> header =
          target_.Input().Header();
      if (!header) {
        co_return Lost();
      }
      if (!header.value().has_value()) {
        co_await ReadTarget();
        continue;
      }
      co_await TakeFrame(*header.value());
    }
    co_return std::move(outcome_);
  }

 private:
  relay_outcome Lost() {
    outcome_.end = relay_end::kTargetLost;
    return std::move(outcome_);
  }

  void End(relay_end how) {
    outcome_.end = how;
    ended_ = true;
  }

  /// Passes on what may go out, then reads more.
  asio::awaitable<void> ReadTarget() {
    if (!co_await Flush()) {
      co_return;
    }
    const result<void> more =
        co_await ReadMore(target_.Socket(), target_.Input());
    if (!more) {
      End(relay_end::kTargetLost);
    }
  }

  /// While a replica may still refuse, nothing goes out.
  asio::awaitable<bool> Flush() {
    if (outcome_.unsent.empty() || (request_.on_replica && !progressed_)) {
      co_return true;
    }
    outcome_.answer_begun = true;
    const result<void> written = co_await caller_.Write(outcome_.unsent);
    outcome_.unsent.clear();
    if (!written) {
      End(relay_end::kCallerLost);
    }
    co_return written.has_value();
  }

  asio::awaitable<void> TakeFrame(frame_header header) {
    if (IsData(header.type) && request_.own_queries == 0) {
      ReleaseHeld();
      progressed_ = true;
      co_await StreamFrame(header.size);
      co_return;
    }
    if (header.size > kMaxPlainFrame) {
      End(relay_end::kTargetLost);
      co_return;
    }
    const std::optional<frame_view> frame = target_.Input().Frame(header);
    if (!frame.has_value()) {
      co_await ReadTarget();
      co_return;
    }
    const std::string_view raw = target_.Input().Data().substr(0, header.size);
    if (request_.own_queries > 0) {
      SkipOwn(*frame);
    } else {
      HandlePlain(*frame, raw);
    }
    target_.Input().Consume(header.size);
  }

  /// Passes a row on without waiting for all of it.
  asio::awaitable<void> StreamFrame(std::size_t size) {
    while (size > 0 && !ended_) {
      const std::string_view data = target_.Input().Data();
      const std::size_t part = std::min(size, data.size());
      Sink().append(data.substr(0, part));
      target_.Input().Consume(part);
      size -= part;
      if (outcome_.held.size() > kMaxHeld) {
        End(relay_end::kTargetLost);
        co_return;
      }
      if (outcome_.unsent.size() >= kFlushSize && !co_await Flush()) {
        co_return;
      }
      if (size > 0) {
        co_await ReadTarget();
      }
    }
  }

  /// Swallows answers to the proxy's own statements.
  void SkipOwn(const frame_view& frame) {
    if (frame.type == backend::kErrorResponse) {
      own_failed_ = true;
    } else if (frame.type == backend::kParameterStatus) {
      target_.NoteParameter(frame);
    } else if (frame.type == backend::kReadyForQuery) {
      --request_.own_queries;
      if (own_failed_) {
        End(relay_end::kTargetLost);
      }
    }
  }

  void HandlePlain(const frame_view& frame, std::string_view raw) {
    switch (frame.type) {
      case backend::kReadyForQuery:
        outcome_.status = static_cast<transaction_status>(
            frame.body.empty() ? 'I' : frame.body.front());
        ended_ = true;
        if (refused_) {
          End(relay_end::kNeedsPrimary);
        }
        return;
      case backend::kParameterStatus:
        if (target_.NoteParameter(frame)) {
          outcome_.unsent.append(raw);
        }
        return;
      case backend::kErrorResponse:
        HandleError(frame, raw);
        return;
      case backend::kParseComplete:
        if (request_.own_parses > 0) {
          --request_.own_parses;
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
    if (refused_) {
      return;
    }
    HandleCompletion(frame, raw);
  }

  void HandleError(const frame_view& frame, std::string_view raw) {
    const std::string code = ParseErrorResponse(frame.body).code;
    if (request_.on_replica && !progressed_ &&
        code == sqlstate::kReadOnlyTransaction) {
      refused_ = true;
      outcome_.unsent.clear();
      return;
    }
    ReleaseHeld();
    progressed_ = true;
    outcome_.failed = true;
    Sink().append(raw);
    ended_ = !request_.until_ready;
  }

  void HandleCompletion(const frame_view& frame, std::string_view raw) {
    const bool is_notice = frame.type == backend::kNoticeResponse;
    const bool claims_done = frame.type == backend::kCommandComplete;
    if (!is_notice) {
      ReleaseHeld();
    }
    progressed_ = progressed_ || claims_done;
    if (request_.hold_completion && claims_done) {
      outcome_.held.append(raw);
      commit_held_ = commit_held_ || frame.body.starts_with("COMMIT");
    } else if (outcome_.held.empty()) {
      outcome_.unsent.append(raw);
    } else {
      outcome_.held.append(raw);
    }
    if (!request_.until_ready && IsCompletion(frame.type)) {
      --request_.completions;
      ended_ = request_.completions == 0;
    }
  }

  /// A completion that more answers follow is not the end of the transaction,
  /// unless it is a COMMIT: that stays back, and all behind it.
  void ReleaseHeld() {
    if (!commit_held_) {
      outcome_.unsent.append(outcome_.held);
      outcome_.held.clear();
    }
  }

  /// Where the next bytes go, so that the order stays.
  std::string& Sink() noexcept {
    return commit_held_ ? outcome_.held : outcome_.unsent;
  }

  target_connection& target_;
  caller_stream& caller_;
  relay_request request_;
  relay_outcome outcome_;
  bool ended_ = false;
  /// The target has begun to run the caller's statement.
  bool progressed_ = false;
  bool refused_ = false;
  bool own_failed_ = false;
  bool commit_held_ = false;
};

}  // namespace

asio::awaitable<relay_outcome> RelayResponse(target_connection& target,
                                             caller_stream& caller,
                                             relay_request request) {
  relay running(target, caller, request);
  co_return co_await running.Run();
}

}  // namespace sassafraswick
