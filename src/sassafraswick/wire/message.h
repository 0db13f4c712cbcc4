#ifndef SASSAFRASWICK_WIRE_MESSAGE_H_
#define SASSAFRASWICK_WIRE_MESSAGE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// PostgreSQL protocol messages that the proxy parses or generates itself.

namespace sassafraswick {

/// SQLSTATE codes used by the proxy.
namespace sqlstate {
inline constexpr std::string_view kAdminShutdown = "57P01";
inline constexpr std::string_view kCannotConnectNow = "57P03";
inline constexpr std::string_view kConfigurationLimitExceeded = "53400";
inline constexpr std::string_view kFeatureNotSupported = "0A000";
inline constexpr std::string_view kInternalError = "XX000";
inline constexpr std::string_view kInvalidAuthorization = "28000";
inline constexpr std::string_view kInvalidCatalogName = "3D000";
inline constexpr std::string_view kInvalidParameterValue = "22023";
inline constexpr std::string_view kInvalidPassword = "28P01";
inline constexpr std::string_view kLostHistory = "40002";
inline constexpr std::string_view kOutOfMemory = "53200";
inline constexpr std::string_view kProgramLimitExceeded = "54000";
inline constexpr std::string_view kProtocolViolation = "08P01";
inline constexpr std::string_view kReadOnlyTransaction = "25006";
inline constexpr std::string_view kTooManyConnections = "53300";
inline constexpr std::string_view kUndefinedParameter = "42704";
inline constexpr std::string_view kUnknownOutcome = "08007";
}  // namespace sqlstate

/// Severity of an ErrorResponse.
enum class error_severity : char { kError, kFatal };

/// Content of an ErrorResponse or NoticeResponse.
struct error_message {
  error_severity severity = error_severity::kError;
  std::string code;
  std::string message;
  std::string hint;
};

/// First message of a connection.
struct startup_request {
  enum class request_kind : char { kStartup, kTls, kGssapi, kCancel };

  request_kind kind = request_kind::kStartup;
  std::map<std::string, std::string, std::less<>> parameters;
};

/// Size of the length field that precedes the body of a startup request.
inline constexpr std::size_t kStartupLengthBytes = 4;
/// Largest startup request accepted, in bytes.
inline constexpr std::size_t kMaxStartupBytes = 10'000;

/// Parses the length field of a startup request.
/// @param bytes The first four bytes of the request.
/// @return Size including the length field, or `error_kind::kProtocol`.
[[nodiscard]] result<std::size_t> ParseStartupSize(std::string_view bytes);

/// Parses a startup request.
/// @param body The bytes after the length field.
[[nodiscard]] result<startup_request> ParseStartup(std::string_view body);

/// Parses the fields of an ErrorResponse body.
[[nodiscard]] error_message ParseErrorResponse(std::string_view body);

/// Appends a frame without a body.
void AppendEmptyFrame(std::string& out, char type);
void AppendError(std::string& out, const error_message& message);
void AppendNotice(std::string& out, const error_message& message);
void AppendAuthenticationOk(std::string& out);
void AppendCleartextPasswordRequest(std::string& out);
void AppendPassword(std::string& out, std::string_view password);
void AppendParameterStatus(std::string& out, std::string_view name,
                           std::string_view value);
void AppendReadyForQuery(std::string& out, transaction_status status);
void AppendCommandComplete(std::string& out, std::string_view tag);
void AppendQuery(std::string& out, std::string_view sql);
void AppendStartup(
    std::string& out,
    const std::map<std::string, std::string, std::less<>>& parameters);
/// Appends a one-column, one-row text result with its CommandComplete.
void AppendTextResult(std::string& out, std::string_view column,
                      std::string_view value, std::string_view tag);
/// Appends a one-column text RowDescription.
void AppendTextColumn(std::string& out, std::string_view column);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_MESSAGE_H_
