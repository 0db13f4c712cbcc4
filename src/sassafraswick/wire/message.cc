#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

constexpr std::uint32_t kProtocolMajor = 3;
constexpr std::uint32_t kProtocolVersion = kProtocolMajor << 16U;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kTlsRequestCode = 80877103;
constexpr std::uint32_t kGssapiRequestCode = 80877104;
constexpr std::size_t kMinStartupBytes = 8;
constexpr std::uint32_t kAuthenticationOk = 0;
constexpr std::uint32_t kAuthenticationCleartext = 3;
constexpr std::uint32_t kTextTypeId = 25;
constexpr std::uint16_t kVariableWidth = 0xFFFF;
constexpr std::uint32_t kNoTypeModifier = 0xFFFFFFFF;

void AppendErrorOrNotice(std::string& out, char type, std::string_view severity,
                         const error_message& message) {
  frame_writer writer(out, type);
  writer.Byte('S').String(severity).Byte('V').String(severity);
  writer.Byte('C').String(message.code);
  writer.Byte('M').String(message.message);
  if (!message.hint.empty()) {
    writer.Byte('H').String(message.hint);
  }
  writer.Byte('\0');
}

}  // namespace

result<std::size_t> ParseStartupSize(std::string_view bytes) {
  body_reader reader(bytes);
  const std::size_t size = reader.Int32();
  if (size < kMinStartupBytes || size > kMaxStartupBytes) {
    return MakeError(error_kind::kProtocol,
                     "startup request of " + std::to_string(size) +
                         " bytes is outside 8 to " +
                         std::to_string(kMaxStartupBytes));
  }
  return size;
}

result<startup_request> ParseStartup(std::string_view body) {
  using request_kind = startup_request::request_kind;
  body_reader reader(body);
  startup_request request;
  const std::uint32_t code = reader.Int32();
  if (code == kTlsRequestCode) {
    request.kind = request_kind::kTls;
    return request;
  }
  if (code == kGssapiRequestCode) {
    request.kind = request_kind::kGssapi;
    return request;
  }
  if (code == kCancelRequestCode) {
    request.kind = request_kind::kCancel;
    return request;
  }
  if (code >> 16U != kProtocolMajor) {
    return MakeError(error_kind::kProtocol,
                     "protocol version " + std::to_string(code >> 16U) + "." +
                         std::to_string(code & 0xFFFFU) +
                         " is not supported, 3.0 is");
  }
  while (!reader.Failed() && !reader.Rest().empty()) {
    const std::string name(reader.String());
    if (name.empty()) {
      break;
    }
    request.parameters[name] = std::string(reader.String());
  }
  if (reader.Failed()) {
    return MakeError(error_kind::kProtocol,
                     "startup request has an unterminated parameter");
  }
  return request;
}

error_message ParseErrorResponse(std::string_view body) {
  error_message message;
  body_reader reader(body);
  while (!reader.Failed() && !reader.Rest().empty()) {
    const std::string_view field = reader.Bytes(1);
    if (field.front() == '\0') {
      break;
    }
    const std::string_view value = reader.String();
    if (field == "C") {
      message.code = value;
    } else if (field == "M") {
      message.message = value;
    } else if (field == "S" && value == "FATAL") {
      message.severity = error_severity::kFatal;
    }
  }
  return message;
}

void AppendEmptyFrame(std::string& out, char type) {
  const frame_writer writer(out, type);
}

void AppendError(std::string& out, const error_message& message) {
  const bool fatal = message.severity == error_severity::kFatal;
  AppendErrorOrNotice(out, backend::kErrorResponse, fatal ? "FATAL" : "ERROR",
                      message);
}

void AppendNotice(std::string& out, const error_message& message) {
  AppendErrorOrNotice(out, backend::kNoticeResponse, "NOTICE", message);
}

void AppendAuthenticationOk(std::string& out) {
  frame_writer(out, backend::kAuthentication).Int32(kAuthenticationOk);
}

void AppendCleartextPasswordRequest(std::string& out) {
  frame_writer(out, backend::kAuthentication).Int32(kAuthenticationCleartext);
}

void AppendPassword(std::string& out, std::string_view password) {
  frame_writer(out, frontend::kPassword).String(password);
}

void AppendParameterStatus(std::string& out, std::string_view name,
                           std::string_view value) {
  frame_writer(out, backend::kParameterStatus).String(name).String(value);
}

void AppendReadyForQuery(std::string& out, transaction_status status) {
  frame_writer(out, backend::kReadyForQuery).Byte(static_cast<char>(status));
}

void AppendCommandComplete(std::string& out, std::string_view tag) {
  frame_writer(out, backend::kCommandComplete).String(tag);
}

void AppendQuery(std::string& out, std::string_view sql) {
  frame_writer(out, frontend::kQuery).String(sql);
}

void AppendStartup(
    std::string& out,
    const std::map<std::string, std::string, std::less<>>& parameters) {
  frame_writer writer(out, 0);
  writer.Int32(kProtocolVersion);
  for (const std::pair<const std::string, std::string>& parameter :
       parameters) {
    writer.String(parameter.first).String(parameter.second);
  }
  writer.Byte('\0');
}

void AppendTextColumn(std::string& out, std::string_view column) {
  frame_writer writer(out, backend::kRowDescription);
  writer.Int16(1).String(column).Int32(0).Int16(0);
  writer.Int32(kTextTypeId).Int16(kVariableWidth);
  writer.Int32(kNoTypeModifier).Int16(0);
}

void AppendTextResult(std::string& out, std::string_view column,
                      std::string_view value, std::string_view tag) {
  AppendTextColumn(out, column);
  frame_writer(out, backend::kDataRow)
      .Int16(1)
      .Int32(static_cast<std::uint32_t>(value.size()))
      .Bytes(value);
  AppendCommandComplete(out, tag);
}

}  // namespace sassafraswick
