#ifndef SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_
#define SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <functional>
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
/// Space for the identifier of a statement whose text is not kept.
inline constexpr std::size_t kMaxStatementHeadBytes = 4096;

/// A message as it was received.
struct received_message {
  caller_message message;
  /// The message was longer than what is kept; its end was dropped.
  bool truncated = false;
};

template <session_codec Codec>
class caller_connection {
 public:
  /// @param on_held_changed Called when `HeldBytes` changes considerably.
  caller_connection(stream_socket socket, std::function<void()> on_held_changed)
      : socket_(std::move(socket)),
        on_held_changed_(std::move(on_held_changed)) {}

  /// Reads one message. Of a longer message only the first `max_kept` bytes are
  /// held. The response to a message longer than `kMaxCallerMessageBytes` is a
  /// rejection.
  /// @return Nothing if the connection ended or the message was rejected; the
  /// connection has to be closed.
  boost::asio::awaitable<std::optional<received_message>> ReadMessage(
      std::size_t max_kept) {
    while (true) {
      const std::size_t end = input_.find(Codec::kTerminator, scanned_);
      if (end != std::string::npos) {
        co_return TakeMessage(end);
      }
      SkipScanned(max_kept);
      if (dropped_ + input_.size() > kMaxCallerMessageBytes) {
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
    ++transfer_;
    sending_bytes_ = bytes.size();
    const bool is_large = sending_bytes_ > kReadBytes;
    if (is_large) {
      on_held_changed_();
    }
    const result<void> written = co_await WriteAll(socket_, bytes);
    sending_bytes_ = 0;
    if (is_large) {
      bytes = std::string();
      on_held_changed_();
    }
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
  /// Returns the number of bytes that wait in the socket.
  [[nodiscard]] std::size_t UnreadBytes() const {
    boost::system::error_code ignored;
    return socket_.available(ignored);
  }
  /// Returns the memory held for input and for the response being sent.
  [[nodiscard]] std::size_t HeldBytes() const {
    return input_.capacity() + sending_bytes_;
  }
  /// Returns the number of the message or response of which a part has been
  /// transferred; nothing if there is none.
  [[nodiscard]] std::optional<std::uint32_t> Transfer() const {
    if (sending_bytes_ > 0 || is_receiving_) {
      return transfer_;
    }
    return std::nullopt;
  }
  [[nodiscard]] boost::asio::any_io_executor Executor() {
    return socket_.get_executor();
  }

 private:
  static constexpr std::size_t kReadBytes = 2048;
  /// Size of one read of a message that is longer than `kReadBytes`.
  static constexpr std::size_t kLargeReadBytes = 16'384;

  received_message TakeMessage(std::size_t end) {
    received_message received;
    received.truncated = dropped_ > 0;
    received.message = Codec::ParseCaller(
        std::string_view(input_).substr(0, std::min(end, kept_)));
    input_.erase(0, end + std::string_view(Codec::kTerminator).size());
    if (input_.size() < kLargeReadBytes &&
        input_.capacity() > kLargeReadBytes) {
      input_.shrink_to_fit();
    }
    kept_ = std::string::npos;
    scanned_ = 0;
    dropped_ = 0;
    ++transfer_;
    return received;
  }

  /// Excludes bytes without a terminator from the next search, and drops those
  /// beyond `max_kept`.
  void SkipScanned(std::size_t max_kept) {
    // The input may end within a terminator.
    constexpr std::size_t kOverlap =
        std::string_view(Codec::kTerminator).size() - 1;
    scanned_ = input_.size() - std::min(input_.size(), kOverlap);
    if (input_.size() <= max_kept + kOverlap) {
      return;
    }
    kept_ = max_kept;
    dropped_ += scanned_ - max_kept;
    input_.erase(max_kept, scanned_ - max_kept);
    scanned_ = max_kept;
  }

  boost::asio::awaitable<bool> ReadMore() {
    namespace asio = boost::asio;
    boost::system::error_code failure;
    const std::size_t used = input_.size();
    // Most connections are idle: release the buffer and wait for input before
    // allocating a new one.
    if (used == 0) {
      input_ = std::string();
      co_await socket_.async_wait(
          stream_socket::wait_read,
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return false;
      }
    }
    const std::size_t size = used < kReadBytes ? kReadBytes : kLargeReadBytes;
    const std::size_t capacity = input_.capacity();
    input_.resize(used + size);
    if (input_.capacity() != capacity && used > 0) {
      on_held_changed_();
    }
    is_receiving_ = used > 0;
    const std::size_t got = co_await socket_.async_read_some(
        asio::buffer(input_.data() + used, size),
        asio::redirect_error(asio::use_awaitable, failure));
    is_receiving_ = false;
    input_.resize(used + got);
    co_return !failure;
  }

  stream_socket socket_;
  std::function<void()> on_held_changed_;
  std::string input_;
  /// Position in the input up to which there is no terminator.
  std::size_t scanned_ = 0;
  /// Length of the message's part that is parsed.
  std::size_t kept_ = std::string::npos;
  /// Number of bytes of the message that were dropped.
  std::size_t dropped_ = 0;
  /// Counts messages and responses.
  std::uint32_t transfer_ = 0;
  std::size_t sending_bytes_ = 0;
  bool is_receiving_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CALLER_CONNECTION_H_
