#ifndef SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_
#define SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "sassafraswick/proxy/caller_stream.h"
#include "sassafraswick/proxy/target_connection.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// Carries a target's answer to a caller, chunk by chunk.

namespace sassafraswick {

/// What to expect and what to keep back.
struct relay_request {
  /// ReadyForQuery messages that answer the proxy's own statements first.
  std::uint32_t proxy_queries = 0;
  /// ParseComplete messages that answer the proxy's own Parse messages.
  std::uint32_t proxy_parses = 0;
  /// The answer ends with ReadyForQuery; otherwise after `completions`.
  bool until_ready = true;
  std::uint32_t completions = 0;
  /// Keep back what tells the caller that a write is done.
  bool withhold_completion = false;
  /// Keep back an error that says the statement needs the primary.
  bool on_replica = false;
};

enum class relay_end : std::uint8_t {
  kComplete,
  /// The replica refused to write; nothing has reached the caller.
  kNeedsPrimary,
  kTargetLost,
  kCallerLost,
};

/// How the answer ended. Neither text contains the ReadyForQuery.
struct relay_outcome {
  relay_end end = relay_end::kComplete;
  transaction_status status = transaction_status::kIdle;
  /// Part of the answer has reached the caller.
  bool answer_begun = false;
  /// The target answered with an error.
  bool failed = false;
  /// The caller's Parse and Close messages that succeeded.
  std::size_t parses_done = 0;
  std::size_t closes_done = 0;
  /// Not yet sent, may go out at any time.
  std::string unsent;
  /// Not yet sent, claims that a write is done.
  std::string withheld;
};

/// Relays one answer.
boost::asio::awaitable<relay_outcome> RelayResponse(target_connection& target,
                                                    caller_stream& caller,
                                                    relay_request request);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_
