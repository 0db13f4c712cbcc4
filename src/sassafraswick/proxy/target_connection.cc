#include "sassafraswick/proxy/target_connection.h"

#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "sassafraswick/failover/group_contract.h"
#include "sassafraswick/wire/message.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxControlFrameBytes = 65'536;
constexpr std::uint32_t kAuthenticationOk = 0;
constexpr std::uint32_t kAuthenticationCleartext = 3;

/// Closes a connection if the timeout expires before the timer is destroyed.
class close_timer {
 public:
  close_timer(const std::shared_ptr<target_connection>& connection,
              duration timeout)
      : timer_(connection->Socket().get_executor(), timeout) {
    timer_.async_wait([connection](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        connection->Close();
      }
    });
  }

 private:
  asio::steady_timer timer_;
};

error TargetError(std::string_view body) {
  const error_message message = ParseErrorResponse(body);
  return MakeError(error_kind::kUnavailable,
                   "target: " + message.code + " " + message.message);
}

/// Extracts the first value of a DataRow.
std::string FirstValue(std::string_view body) {
  body_reader reader(body);
  static_cast<void>(reader.Int16());
  const std::uint32_t size = reader.Int32();
  return std::string(reader.Bytes(size));
}

}  // namespace

asio::awaitable<result<std::shared_ptr<target_connection>>>
target_connection::Open(endpoint address, instance_index instance,
                        target_credentials credentials, duration timeout) {
  result<stream_socket> socket = co_await Connect(address, timeout);
  if (!socket) {
    co_return socket.error();
  }
  const std::shared_ptr<target_connection> connection =
      std::make_shared<target_connection>(std::move(socket.value()), instance);
  const close_timer timer(connection, timeout);
  const result<void> authenticated =
      co_await connection->Authenticate(std::move(credentials));
  if (!authenticated) {
    co_return authenticated.error();
  }
  co_return connection;
}

asio::awaitable<result<void>> target_connection::Authenticate(
    target_credentials credentials) {
  std::string out;
  AppendStartup(out, {{"user", credentials.user},
                      {"database", credentials.database},
                      {"application_name", "sassafraswick"}});
  result<void> written = co_await WriteAll(socket_, out);
  while (written) {
    const result<frame_header> header =
        co_await ReadFrame(socket_, input_, kMaxControlFrameBytes);
    if (!header) {
      co_return header.error();
    }
    const frame_view frame = *input_.Frame(header.value());
    out.clear();
    if (frame.type == backend::kErrorResponse) {
      co_return TargetError(frame.body);
    }
    if (frame.type == backend::kAuthentication) {
      const std::uint32_t kind = body_reader(frame.body).Int32();
      if (kind == kAuthenticationCleartext) {
        AppendPassword(out, credentials.password);
      } else if (kind != kAuthenticationOk) {
        co_return MakeError(error_kind::kProtocol,
                            "target asks for authentication method " +
                                std::to_string(kind) +
                                ", only cleartext passwords are supported");
      }
    } else if (frame.type == backend::kParameterStatus) {
      HandleParameterStatus(frame);
    }
    const bool ready = frame.type == backend::kReadyForQuery;
    input_.Consume(header.value().size);
    if (ready) {
      co_return boost::outcome_v2::success();
    }
    written = co_await WriteAll(socket_, out);
  }
  co_return written.error();
}

asio::awaitable<result<std::string>> target_connection::QueryValue(
    std::string sql, duration timeout) {
  const close_timer timer(shared_from_this(), timeout);
  std::string out;
  AppendQuery(out, sql);
  const result<void> written = co_await WriteAll(socket_, out);
  if (!written) {
    co_return written.error();
  }
  result<std::string> value =
      MakeError(error_kind::kProtocol, "target: query returned no value");
  while (true) {
    const result<frame_header> header =
        co_await ReadFrame(socket_, input_, kMaxControlFrameBytes);
    if (!header) {
      co_return header.error();
    }
    const frame_view frame = *input_.Frame(header.value());
    if (frame.type == backend::kErrorResponse) {
      value = TargetError(frame.body);
    } else if (frame.type == backend::kDataRow) {
      value = FirstValue(frame.body);
    } else if (frame.type == backend::kParameterStatus) {
      HandleParameterStatus(frame);
    }
    const bool ready = frame.type == backend::kReadyForQuery;
    input_.Consume(header.value().size);
    if (ready) {
      co_return value;
    }
  }
}

bool target_connection::HandleParameterStatus(const frame_view& frame) {
  body_reader reader(frame.body);
  if (reader.String() != kPositionParameter) {
    return true;
  }
  const result<log_point> position = ParsePosition(reader.String());
  if (position) {
    position_ = position.value();
  }
  return false;
}

bool target_connection::IsStale() {
  char byte = 0;
  const ssize_t size = ::recv(socket_.native_handle(), &byte, sizeof(byte),
                              MSG_PEEK | MSG_DONTWAIT);
  const bool would_block =
      size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return !would_block || !input_.Data().empty();
}

void target_connection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace sassafraswick
