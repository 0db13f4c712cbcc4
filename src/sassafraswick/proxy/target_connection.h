#ifndef SASSAFRASWICK_PROXY_TARGET_CONNECTION_H_
#define SASSAFRASWICK_PROXY_TARGET_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sassafraswick/config/tables.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log_point.h"
#include "sassafraswick/failover/group_state.h"
#include "sassafraswick/proxy/stream.h"
#include "sassafraswick/session/session_state.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// A connection to an instance of a database group.

namespace sassafraswick {

/// Credentials with which a pool connects to its instances; never a caller's
/// key.
struct target_credentials {
  std::string user;
  std::string password;
  std::string database;
};

/// An authenticated connection, used by one session at a time.
class target_connection
    : public std::enable_shared_from_this<target_connection> {
 public:
  target_connection(stream_socket socket, instance_index instance)
      : socket_(std::move(socket)), instance_(instance) {}

  /// Connects and authenticates.
  /// @param timeout Time after which connecting or authenticating fails.
  static boost::asio::awaitable<result<std::shared_ptr<target_connection>>>
  Open(endpoint address, instance_index instance,
       target_credentials credentials, duration timeout);

  /// Runs a query that returns one text value.
  boost::asio::awaitable<result<std::string>> QueryValue(std::string sql,
                                                         duration timeout);

  /// Processes a ParameterStatus message, which may report a log position.
  /// @return True if the message is to be forwarded to the caller.
  bool HandleParameterStatus(const frame_view& frame);

  /// Returns whether the instance has closed an idle connection or sent
  /// unsolicited data on it.
  [[nodiscard]] bool IsStale();

  void Close();

  [[nodiscard]] stream_socket& Socket() noexcept { return socket_; }
  [[nodiscard]] frame_buffer& Input() noexcept { return input_; }
  [[nodiscard]] instance_index Instance() const noexcept { return instance_; }
  /// Log point visible to the last statement, if the instance reported one.
  [[nodiscard]] std::optional<log_point> Position() const noexcept {
    return position_;
  }

  /// The session whose variables and prepared statements are set on this
  /// connection, and which of them.
  connection_session_state carried_state;
  /// Time at which the connection was last leased.
  time_point leased_at;

 private:
  boost::asio::awaitable<result<void>> Authenticate(
      target_credentials credentials);

  stream_socket socket_;
  frame_buffer input_;
  instance_index instance_;
  std::optional<log_point> position_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_TARGET_CONNECTION_H_
