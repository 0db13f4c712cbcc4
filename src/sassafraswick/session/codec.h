#ifndef SASSAFRASWICK_SESSION_CODEC_H_
#define SASSAFRASWICK_SESSION_CODEC_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/session/statement.h"

/// @file
/// What the session engine needs of a wire protocol.

namespace sassafraswick {

enum class caller_message_kind : std::uint8_t {
  kStart,
  kStatement,
  kTerminate,
  /// Not a message of the protocol.
  kMalformed,
};

/// One message of a caller.
struct caller_message {
  caller_message_kind kind = caller_message_kind::kMalformed;
  /// For `kStart`.
  std::string database;
  std::string key;
  /// For `kStatement`.
  statement query;
};

/// Control statements of this host to a target.
enum class control_statement : std::uint8_t {
  kStatus,
  kReset,
  kRollback,
  /// Stops receiving until a term above the given one, or `kResumeReplication`.
  kPauseReplication,
  kResumeReplication,
  kStepDown,
};

/// Bytes of one protocol, for both sides of the proxy. Messages are framed by
/// `kTerminator`, results of a target are read frame by frame.
template <typename Codec>
concept session_codec = requires(std::string_view frame, std::string text,
                                 statement_result answer,
                                 std::optional<log_point> after,
                                 typename Codec::result_reader reader) {
  { Codec::kTerminator } -> std::convertible_to<std::string_view>;
  { Codec::ParseCaller(frame) } -> std::same_as<caller_message>;
  { Codec::FormatResult(answer) } -> std::same_as<std::string>;
  { Codec::FormatRejection(answer) } -> std::same_as<std::string>;
  { Codec::FormatHello(text, text, text) } -> std::same_as<std::string>;
  { Codec::FormatStatement(text, text, after) } -> std::same_as<std::string>;
  { Codec::FormatUpdate(text) } -> std::same_as<std::string>;
  {
    Codec::FormatControl(control_statement::kStatus, term_number{})
    } -> std::same_as<std::string>;
  { Codec::ParseStatus(answer) } -> std::same_as<result<instance_status>>;
  {
    reader.Feed(frame)
    } -> std::same_as<result<std::optional<statement_result>>>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_CODEC_H_
