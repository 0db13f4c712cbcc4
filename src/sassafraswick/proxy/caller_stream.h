#ifndef SASSAFRASWICK_PROXY_CALLER_STREAM_H_
#define SASSAFRASWICK_PROXY_CALLER_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/proxy/stream.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// The stream of a caller, with or without TLS.

namespace sassafraswick {

/// TCP stream to a caller that can be upgraded to TLS once.
class caller_stream {
 public:
  explicit caller_stream(stream_socket socket) : socket_(std::move(socket)) {}

  /// Performs the server side of a TLS handshake.
  boost::asio::awaitable<result<void>> StartTls(
      boost::asio::ssl::context& context);

  /// Reads at least one byte into the buffer.
  boost::asio::awaitable<result<void>> Read(frame_buffer& buffer,
                                            std::size_t size);

  /// Writes all bytes.
  boost::asio::awaitable<result<void>> Write(std::string_view bytes);

  /// Sends a last message if that does not block, then closes the stream. With
  /// TLS, only closes it.
  void SendAndClose(std::string_view bytes);

  /// Sends a last message and shuts down the sending side only. A request that
  /// is still in flight then does not reset the connection before the caller
  /// has read the message. With TLS, only closes the stream.
  void SendAndShutdownWrite(std::string_view bytes);

  /// Returns whether the socket has unread input.
  [[nodiscard]] bool HasInput() const;

  void Close();

  /// Returns the number of the write in progress; nothing if there is none.
  [[nodiscard]] std::optional<std::uint64_t> WriteInProgress() const noexcept {
    return is_writing_ ? std::optional<std::uint64_t>(writes_) : std::nullopt;
  }

  [[nodiscard]] bool IsOpen() const { return socket_.is_open(); }

 private:
  boost::asio::awaitable<result<void>> WriteToStream(std::string_view bytes);

  using tls_stream = boost::asio::ssl::stream<stream_socket&>;

  stream_socket socket_;
  std::unique_ptr<tls_stream> tls_;
  std::uint64_t writes_ = 0;
  bool is_writing_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_CALLER_STREAM_H_
