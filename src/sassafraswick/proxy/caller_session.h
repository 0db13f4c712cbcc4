#ifndef SASSAFRASWICK_PROXY_CALLER_SESSION_H_
#define SASSAFRASWICK_PROXY_CALLER_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "sassafraswick/config/configuration.h"
#include "sassafraswick/proxy/caller_settings.h"
#include "sassafraswick/proxy/caller_stream.h"
#include "sassafraswick/proxy/host_runtime.h"
#include "sassafraswick/proxy/response_relay.h"
#include "sassafraswick/session/session_engine.h"
#include "sassafraswick/wire/message.h"
#include "sassafraswick/wire/request_unit.h"

/// @file
/// The session of a caller, from startup to the end of its connection.

namespace sassafraswick {

/// The caller's identity and the route that it connected to.
struct caller_identity {
  std::string organisation;
  /// Empty on open routes, which need no key.
  std::string key_id;
  std::string route;
  std::string pool;
};

/// A session; kept alive by its coroutine `Run`.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(host_runtime& runtime, stream_socket socket);
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;
  ~caller_session();

  /// Serves the caller until either side ends the session.
  boost::asio::awaitable<void> Run();

  /// Closes the session if the configuration no longer admits it.
  void CheckAdmission(const configuration& current);

  /// Closes the session now if it is idle, else after its request or
  /// transaction.
  void CloseWhenIdle();

  /// Closes the session since a limit is reached.
  void CloseForLimit(const std::string& limit);

  /// Closes the session if a timeout expired, or if its key cannot be checked.
  /// @param isolated The host may have missed the withdrawal of keys.
  void CheckTimeouts(time_point now, bool isolated);

 private:
  enum class activity : std::uint8_t { kStarting, kIdle, kBusy };

  boost::asio::awaitable<bool> Start();
  boost::asio::awaitable<std::optional<startup_request>> ReadStartup();
  boost::asio::awaitable<bool> Admit(const startup_request& request);
  boost::asio::awaitable<std::optional<std::string>> ReadPassword();
  boost::asio::awaitable<bool> ApplyStartupSettings(
      const startup_request& request);
  boost::asio::awaitable<bool> Reject(std::string_view code,
                                      std::string message);

  boost::asio::awaitable<std::optional<request_unit>> ReadUnit();
  boost::asio::awaitable<bool> Serve(request_unit& unit);
  boost::asio::awaitable<bool> ServeProxyStatement(const request_unit& unit);
  boost::asio::awaitable<bool> ReplyNotAdmitted(const request_unit& unit,
                                                const admission& refused);
  boost::asio::awaitable<bool> ServeRouted(request_unit& unit);
  boost::asio::awaitable<bool> ServePinned(request_unit& unit, bool writes);
  boost::asio::awaitable<relay_outcome> RunUnit(const request_unit& unit,
                                                const connection_lease& lease,
                                                bool withhold_completion);
  boost::asio::awaitable<bool> FinishUnit(const request_unit& unit,
                                          const connection_lease& lease,
                                          relay_outcome outcome,
                                          bool may_have_written);
  /// Builds the reply to a unit that failed, was not executed or has an unknown
  /// outcome.
  [[nodiscard]] std::string ErrorReply(const request_unit& unit,
                                       const error_message& message);
  boost::asio::awaitable<bool> Send(std::string bytes);
  boost::asio::awaitable<bool> ReplyRefusal(const request_unit& unit,
                                            const refusal& refused);
  boost::asio::awaitable<bool> ReplyRolledBack(const request_unit& unit);
  boost::asio::awaitable<bool> ReplyDecision(const request_unit& unit,
                                             const statement_result& response);
  [[nodiscard]] request_entry MakeRequest(const request_unit& unit,
                                          time_point deadline) const;
  [[nodiscard]] std::string MakePreamble(const request_unit& unit,
                                         target_connection& connection,
                                         relay_request& expected) const;
  void RecordSessionChanges(const request_unit& unit,
                            target_connection& connection,
                            const relay_outcome& outcome);
  void AppendToken(std::string& out);
  void ReleaseConnections();
  void CloseWithError(std::string_view code, const std::string& message);
  /// Notifies an idle caller that the host is shutting down, unless a request
  /// has already arrived.
  void AnnounceShutdown();
  /// Returns the number of the unit or write of which a part has been
  /// transferred; nothing if there is none.
  [[nodiscard]] std::optional<std::uint64_t> CurrentTransfer() const;
  /// Records what the session holds, and closes sessions while all hold too
  /// much.
  /// @param unit_bytes Memory for the current unit.
  void UpdateHeld(std::size_t unit_bytes);
  [[nodiscard]] token_scope TokenScope() const;
  [[nodiscard]] duration StatementTimeout() const;

  host_runtime& runtime_;
  caller_stream stream_;
  frame_buffer input_;
  caller_identity identity_;
  session_number id_ = 0;
  std::shared_ptr<target_pool> pool_;
  caller_settings settings_;
  session_engine engine_{0, response_policy::kTarget};
  /// Connection leased for the duration of a transaction or unfinished batch.
  std::optional<connection_lease> pinned_;
  bool skip_to_sync_ = false;
  bool close_when_idle_ = false;
  /// Part of a request was read.
  bool request_started_ = false;
  /// Time at which the caller was notified of the shutdown. Requests that
  /// arrive later are not executed.
  std::optional<time_point> shutdown_announced_at_;
  activity activity_ = activity::kStarting;
  time_point activity_started_at_;
  std::string sent_token_;
  std::uint64_t units_read_ = 0;
  /// The session is counted in the host's memory budget.
  bool is_counted_ = false;
  /// The transfer seen at the last check, and when it was first seen.
  std::optional<std::uint64_t> watched_transfer_;
  time_point watched_since_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_CALLER_SESSION_H_
