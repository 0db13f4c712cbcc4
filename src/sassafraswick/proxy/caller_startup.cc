#include <sodium.h>

#include <algorithm>

#include "sassafraswick/core/log.h"
#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/wire/message.h"

/// @file
/// Startup of a session: TLS negotiation, authentication and startup settings.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;
using request_kind = startup_request::request_kind;

constexpr std::size_t kMaxPasswordFrameBytes = 4096;
constexpr std::string_view kServerVersion = "15.0 (sassafraswick)";

/// Returns whether a startup parameter is not a session setting.
bool IsConnectionParameter(std::string_view name) {
  return name == "user" || name == "database" || name == "options" ||
         name == "replication";
}

std::string QuoteLiteral(std::string_view text) {
  std::string quoted = "'";
  for (const char c : text) {
    quoted += c == '\'' ? "''" : std::string(1, c);
  }
  return quoted + "'";
}

bool IsParameterName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           c == '.';
  });
}

const organisation* FindOrganisation(const configuration& current,
                                     std::string_view name) {
  const auto found = current.tables.organisations.find(name);
  return found == current.tables.organisations.end() ? nullptr : &found->second;
}

bool AllowsOrganisation(const route& entry, const std::string& name) {
  return entry.organisations.empty() ||
         std::find(entry.organisations.begin(), entry.organisations.end(),
                   name) != entry.organisations.end();
}

}  // namespace

asio::awaitable<bool> caller_session::Start() {
  const std::optional<startup_request> request = co_await ReadStartup();
  if (!request.has_value()) {
    co_return false;
  }
  if (!co_await Admit(*request)) {
    co_return false;
  }
  if (!co_await ApplyStartupSettings(*request)) {
    co_return false;
  }
  std::string out;
  AppendAuthenticationOk(out);
  AppendParameterStatus(out, "server_version", kServerVersion);
  AppendParameterStatus(out, "server_encoding", "UTF8");
  AppendParameterStatus(out, "client_encoding", "UTF8");
  AppendParameterStatus(out, "DateStyle", "ISO, MDY");
  AppendParameterStatus(out, "integer_datetimes", "on");
  AppendParameterStatus(out, "standard_conforming_strings", "on");
  frame_writer(out, backend::kBackendKeyData)
      .Int32(static_cast<std::uint32_t>(id_))
      .Int32(randombytes_random());
  AppendReadyForQuery(out, transaction_status::kIdle);
  const result<void> written = co_await stream_.Write(out);
  co_return written.has_value();
}

asio::awaitable<std::optional<startup_request>> caller_session::ReadStartup() {
  while (true) {
    while (input_.Data().size() < kStartupLengthBytes) {
      if (!co_await stream_.Read(input_, kIdleReadBytes)) {
        co_return std::nullopt;
      }
    }
    const result<std::size_t> size =
        ParseStartupSize(input_.Data().substr(0, kStartupLengthBytes));
    while (size && input_.Data().size() < size.value()) {
      if (!co_await stream_.Read(input_, kIdleReadBytes)) {
        co_return std::nullopt;
      }
    }
    result<startup_request> request =
        MakeError(error_kind::kProtocol, "startup request is malformed");
    if (size) {
      request = ParseStartup(input_.Data().substr(
          kStartupLengthBytes, size.value() - kStartupLengthBytes));
      input_.Consume(size.value());
    }
    if (!request) {
      ++runtime_.Metrics().protocol_errors;
      co_await Reject(sqlstate::kProtocolViolation, request.error().message);
      co_return std::nullopt;
    }
    const request_kind kind = request.value().kind;
    if (kind == request_kind::kStartup) {
      co_return std::move(request.value());
    }
    if (kind == request_kind::kCancel) {
      co_return std::nullopt;
    }
    const bool start_tls =
        kind == request_kind::kTls && runtime_.Tls() != nullptr;
    const result<void> written = co_await stream_.Write(start_tls ? "S" : "N");
    if (!written) {
      co_return std::nullopt;
    }
    // Plaintext buffered before the handshake must not be treated as encrypted
    // input.
    if (start_tls && (!input_.Data().empty() ||
                      !co_await stream_.StartTls(*runtime_.Tls()))) {
      co_return std::nullopt;
    }
  }
}

asio::awaitable<bool> caller_session::Reject(std::string_view code,
                                             std::string message) {
  std::string out;
  AppendError(
      out, {error_severity::kFatal, std::string(code), std::move(message), ""});
  static_cast<void>(co_await stream_.Write(out));
  co_return false;
}

asio::awaitable<std::optional<std::string>> caller_session::ReadPassword() {
  std::string out;
  AppendCleartextPasswordRequest(out);
  if (!co_await stream_.Write(out)) {
    co_return std::nullopt;
  }
  while (true) {
    const result<std::optional<frame_header>> header = input_.Header();
    if (!header) {
      co_return std::nullopt;
    }
    if (header.value().has_value()) {
      if (header.value()->type != frontend::kPassword ||
          header.value()->size > kMaxPasswordFrameBytes) {
        ++runtime_.Metrics().protocol_errors;
        co_await Reject(sqlstate::kProtocolViolation,
                        "expected a password message");
        co_return std::nullopt;
      }
      const std::optional<frame_view> frame = input_.Frame(*header.value());
      if (frame.has_value()) {
        std::string password(body_reader(frame->body).String());
        input_.Consume(header.value()->size);
        co_return password;
      }
    }
    if (!co_await stream_.Read(input_, kIdleReadBytes)) {
      co_return std::nullopt;
    }
  }
}

asio::awaitable<bool> caller_session::Admit(const startup_request& request) {
  const auto user = request.parameters.find("user");
  const auto database = request.parameters.find("database");
  identity_.organisation = user == request.parameters.end() ? "" : user->second;
  identity_.route = database == request.parameters.end()
                        ? identity_.organisation
                        : database->second;
  std::shared_ptr<const configuration> current = runtime_.Configuration();
  if (current == nullptr) {
    co_return co_await Reject(sqlstate::kCannotConnectNow,
                              "not run: no configuration has arrived yet");
  }
  if (runtime_.IsDraining() || runtime_.IsIsolated(monotonic_clock::now())) {
    co_return co_await Reject(sqlstate::kCannotConnectNow,
                              "not run: host is shutting down or cut off");
  }
  const auto found = current->tables.routes.find(identity_.route);
  const bool open = found != current->tables.routes.end() && found->second.open;
  if (!open) {
    const std::optional<std::string> password = co_await ReadPassword();
    if (!password.has_value()) {
      co_return false;
    }
    // The configuration may have changed while waiting for the password.
    current = runtime_.Configuration();
    const std::optional<std::string> key_id =
        Authenticate(*current, identity_.organisation, *password);
    if (!key_id.has_value() ||
        FindOrganisation(*current, identity_.organisation) == nullptr) {
      ++runtime_.Metrics().authentication_failures;
      Log(log_level::kWarning, "authentication_failed",
          {{"organisation", identity_.organisation}});
      co_return co_await Reject(sqlstate::kInvalidPassword,
                                "key is not valid for organisation \"" +
                                    identity_.organisation + "\"");
    }
    identity_.key_id = *key_id;
  }
  const auto entry = current->tables.routes.find(identity_.route);
  if (entry == current->tables.routes.end() ||
      (!open && !AllowsOrganisation(entry->second, identity_.organisation))) {
    co_return co_await Reject(sqlstate::kInvalidCatalogName,
                              "service \"" + identity_.route +
                                  "\" does not exist for organisation \"" +
                                  identity_.organisation + "\"");
  }
  identity_.pool = entry->second.pool;
  pool_ = runtime_.FindPool(identity_.pool);
  co_return pool_ != nullptr;
}

asio::awaitable<bool> caller_session::ApplyStartupSettings(
    const startup_request& request) {
  std::map<std::string, std::string, std::less<>> parameters =
      request.parameters;
  const auto options = parameters.find("options");
  if (options != parameters.end()) {
    std::map<std::string, std::string, std::less<>> parsed =
        ParseOptions(options->second);
    parameters.merge(parsed);
  }
  for (const std::pair<const std::string, std::string>& entry : parameters) {
    if (entry.first.starts_with("sassafraswick.")) {
      const result<void> set =
          SetParameter(settings_, entry.first, entry.second, runtime_.Tokens(),
                       TokenScope());
      if (!set) {
        co_return co_await Reject(sqlstate::kInvalidParameterValue,
                                  set.error().message);
      }
    } else if (!IsConnectionParameter(entry.first) &&
               IsParameterName(entry.first)) {
      statement change;
      change.kind = statement_kind::kSet;
      change.name = entry.first;
      change.text = "SET " + entry.first + " = " + QuoteLiteral(entry.second);
      static_cast<void>(engine_.SessionState().Apply(change));
    }
  }
  co_return true;
}

}  // namespace sassafraswick
