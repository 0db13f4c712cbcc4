#ifndef SASSAFRASWICK_SESSION_CODEC_H_
#define SASSAFRASWICK_SESSION_CODEC_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/failover/replacement_state.h"
#include "sassafraswick/session/statement.h"

/// @file
/// Requirements of the session engine on a wire protocol.

namespace sassafraswick {

enum class caller_message_kind : std::uint8_t {
  kStart,
  kStatement,
  kTerminate,
  /// The message violates the protocol.
  kMalformed,
};

/// A parsed message of a caller.
struct caller_message {
  caller_message_kind kind = caller_message_kind::kMalformed;
  /// For `kStart`.
  std::string database;
  std::string key;
  /// For `kStatement`.
  statement query;
};

/// Control statements that this host sends to a target.
enum class control_statement : std::uint8_t {
  kStatus,
  kReset,
  kRollback,
  /// Stops replication to the instance until a term above the given one, or
  /// until `kResumeReplication`.
  kPauseReplication,
  kResumeReplication,
  kStepDown,
};

/// Encodes and decodes a protocol for the callers' and the targets' side of the
/// proxy. Frames end with `kTerminator`; the result of a target is read frame
/// by frame.
template <typename Codec>
concept session_codec = requires(std::string_view frame, std::string text,
                                 statement_result response,
                                 std::optional<log_point> after,
                                 typename Codec::result_reader reader) {
  { Codec::kTerminator } -> std::convertible_to<std::string_view>;
  { Codec::ParseCaller(frame) } -> std::same_as<caller_message>;
  { Codec::FormatResult(response) } -> std::same_as<std::string>;
  { Codec::FormatRejection(response) } -> std::same_as<std::string>;
  { Codec::FormatHello(text, text, text) } -> std::same_as<std::string>;
  { Codec::FormatStatement(text, text, after) } -> std::same_as<std::string>;
  { Codec::FormatUpdate(text) } -> std::same_as<std::string>;
  {
    Codec::FormatControl(control_statement::kStatus, term_number{})
    } -> std::same_as<std::string>;
  { Codec::ParseStatus(response) } -> std::same_as<result<instance_status>>;
  {
    reader.Feed(frame)
    } -> std::same_as<result<std::optional<statement_result>>>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_CODEC_H_
