#ifndef SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_
#define SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "sassafraswick/proxy/caller_stream.h"
#include "sassafraswick/proxy/target_connection.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// Streams the response of a target to a caller.

namespace sassafraswick {

/// What response to expect, and which parts of it to withhold.
struct relay_request {
  /// Number of ReadyForQuery messages that answer statements which the proxy
  /// sent ahead of the caller's; dropped from the response.
  std::uint32_t proxy_queries = 0;
  /// Number of ParseComplete messages that answer Parse messages of the proxy;
  /// dropped from the response.
  std::uint32_t proxy_parses = 0;
  /// The response ends with ReadyForQuery; otherwise after `completions`
  /// messages that each complete one message of the caller.
  bool until_ready = true;
  std::uint32_t completions = 0;
  /// Withhold messages that tell the caller that a write is done.
  bool withhold_completion = false;
  /// The target is a replica: withhold an error that says that the statement
  /// needs the primary.
  bool on_replica = false;
};

enum class relay_end : std::uint8_t {
  kComplete,
  /// The replica refused to write; nothing was sent to the caller.
  kNeedsPrimary,
  kTargetLost,
  kCallerLost,
};

/// Result of relaying a response. `unsent` and `withheld` do not contain the
/// ReadyForQuery message.
struct relay_outcome {
  relay_end end = relay_end::kComplete;
  transaction_status status = transaction_status::kIdle;
  /// Part of the response was sent to the caller.
  bool response_begun = false;
  /// The target responded with an error.
  bool failed = false;
  /// Number of the caller's Parse and Close messages that succeeded.
  std::size_t parses_done = 0;
  std::size_t closes_done = 0;
  /// Bytes not yet sent that may be sent at any time.
  std::string unsent;
  /// Bytes not yet sent that report a write as done; sent only once the write
  /// is durable.
  std::string withheld;
};

/// Relays one response.
boost::asio::awaitable<relay_outcome> RelayResponse(target_connection& target,
                                                    caller_stream& caller,
                                                    relay_request request);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_RESPONSE_RELAY_H_
