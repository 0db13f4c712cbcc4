#ifndef SASSAFRASWICK_GATEWAY_STATEMENT_SENDER_H_
#define SASSAFRASWICK_GATEWAY_STATEMENT_SENDER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "sassafraswick/gateway/statement_batch.h"
#include "sassafraswick/gateway/target_group.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Sends statements to instances, and records what their responses, or missing
/// responses, show about the instances.

namespace sassafraswick {

/// A target's response, and when its statement was sent.
struct sent_statement {
  statement_result response;
  time_point sent_at;
};

/// Sends a batch, and updates the target's state from the response to its last
/// statement.
/// @param timeout Time after which the connection is closed.
template <session_codec Codec>
boost::asio::awaitable<sent_statement> SendBatch(
    std::shared_ptr<target_group<Codec>> group,
    pooled_connection_lease<Codec> lease, statement_batch batch,
    duration timeout) {
  sent_statement sent;
  sent.sent_at = monotonic_clock::now();
  const exchange_outcome outcome =
      co_await lease.connection->Exchange(batch.bytes, batch.count, timeout);
  if (outcome.results.size() == batch.count) {
    sent.response = outcome.results.back();
  } else {
    sent.response.failure = failure_code::kNoAnswer;
    sent.response.detail = outcome.closed ? "the target ended the connection"
                                          : "no answer in time";
  }
  if (outcome.rejected || outcome.home_failed) {
    co_return sent;
  }
  if (sent.response.failure == failure_code::kNoAnswer) {
    group->ObserveNoResponse(*lease.target, sent.sent_at);
  } else {
    group->Observe(*lease.target, sent.response, sent.sent_at);
  }
  co_return sent;
}

/// Sends a batch that does no harm if it runs without its response being used.
/// Gives it up once the instance is found to be unresponsive.
/// @param late_after Time after which an instance that has answered nothing
/// since is asked for its status.
template <session_codec Codec>
boost::asio::awaitable<sent_statement> SendWhileResponsive(
    boost::asio::io_context& context,
    std::shared_ptr<target_group<Codec>> group,
    pooled_connection_lease<Codec> lease, statement_batch batch,
    duration timeout, duration late_after) {
  struct pending_statement {
    explicit pending_statement(const boost::asio::any_io_executor& executor)
        : ended(executor) {}
    async_event ended;
    std::optional<sent_statement> sent;
  };
  const std::shared_ptr<pending_statement> pending =
      std::make_shared<pending_statement>(context.get_executor());
  const time_point started_at = monotonic_clock::now();
  Spawn(context, "statement",
        [pending, group, lease, batch = std::move(batch),
         timeout]() -> boost::asio::awaitable<void> {
          pending->sent =
              co_await SendBatch<Codec>(group, lease, batch, timeout);
          pending->ended.NotifyAll();
        });
  bool probed = false;
  while (!pending->sent.has_value()) {
    const bool ended = co_await pending->ended.Wait(late_after);
    if (ended) {
      continue;
    }
    if (lease.target->IsUnresponsiveSince(started_at)) {
      lease.connection->Close();
    } else if (!probed) {
      probed = true;
      group->ProbeIfSilent(lease.target, started_at);
    }
  }
  co_return *pending->sent;
}

/// Returns whether a read or the start of a transaction may be retried: not
/// after errors of the caller's own request.
[[nodiscard]] inline bool IsRetryable(const statement_result& response) {
  return response.failure == failure_code::kBusy ||
         response.failure == failure_code::kLagging ||
         response.failure == failure_code::kReadOnly ||
         response.failure == failure_code::kMisrouted ||
         response.failure == failure_code::kStatementFailed ||
         response.failure == failure_code::kNoAnswer;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STATEMENT_SENDER_H_
