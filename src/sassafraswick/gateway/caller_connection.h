#ifndef SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_
#define SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "sassafraswick/net/tcp.h"
#include "sassafraswick/session/codec.h"

/// @file
/// Reads framed protocol messages from a caller's socket and writes responses.

namespace sassafraswick {

/// Largest message accepted from a caller, as set by the deployment's
/// requirements.
inline constexpr std::size_t kMaxCallerMessageBytes = 1'048'576;

template <session_codec Codec>
class caller_connection {
 public:
  explicit caller_connection(stream_socket socket)
      : socket_(std::move(socket)) {}

  /// Reads one message. The response to a message longer than
  /// `kMaxCallerMessageBytes` is a rejection.
  /// @return Nothing if the connection ended or the message was rejected; the
  /// connection has to be closed.
  boost::asio::awaitable<std::optional<caller_message>> ReadMessage() {
    while (true) {
      const std::size_t end = input_.find(Codec::kTerminator);
      if (end != std::string::npos) {
        caller_message message =
            Codec::ParseCaller(std::string_view(input_).substr(0, end));
        input_.erase(0, end + std::string_view(Codec::kTerminator).size());
        co_return message;
      }
      if (input_.size() > kMaxCallerMessageBytes) {
        statement_result response;
        response.failure = failure_code::kTooLarge;
        response.detail = "a message may have 1 MiB at most";
        const std::string rejection = Codec::FormatRejection(response);
        co_await Send(rejection);
        co_return std::nullopt;
      }
      const bool more = co_await ReadMore();
      if (!more) {
        co_return std::nullopt;
      }
    }
  }

  /// @return False if the connection ended.
  boost::asio::awaitable<bool> Send(std::string bytes) {
    const result<void> written = co_await WriteAll(socket_, bytes);
    co_return written.has_value();
  }

  void Close() {
    boost::system::error_code ignored;
    socket_.shutdown(stream_socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  [[nodiscard]] bool IsOpen() const { return socket_.is_open(); }
  /// Returns whether input has arrived that has not been parsed yet.
  [[nodiscard]] bool HasInput() const {
    boost::system::error_code ignored;
    return !input_.empty() || socket_.available(ignored) > 0;
  }
  [[nodiscard]] boost::asio::any_io_executor Executor() {
    return socket_.get_executor();
  }

 private:
  static constexpr std::size_t kReadBytes = 2048;

  boost::asio::awaitable<bool> ReadMore() {
    namespace asio = boost::asio;
    boost::system::error_code failure;
    const std::size_t used = input_.size();
    // Most connections are idle: wait for input before allocating a read
    // buffer.
    if (used == 0) {
      co_await socket_.async_wait(
          stream_socket::wait_read,
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return false;
      }
    }
    input_.resize(used + kReadBytes);
    const std::size_t got = co_await socket_.async_read_some(
        asio::buffer(input_.data() + used, kReadBytes),
        asio::redirect_error(asio::use_awaitable, failure));
    input_.resize(used + got);
    co_return !failure;
  }

  stream_socket socket_;
  std::string input_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_
