#include "sassafraswick/proxy/caller_stream.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

result<void> ToResult(const char* operation,
                      const boost::system::error_code& failure) {
  if (failure) {
    return MakeError(error_kind::kIo, std::string("caller ") + operation +
                                          ": " + failure.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace

asio::awaitable<result<void>> caller_stream::StartTls(
    asio::ssl::context& context) {
  tls_ = std::make_unique<tls_stream>(socket_, context);
  boost::system::error_code failure;
  co_await tls_->async_handshake(
      asio::ssl::stream_base::server,
      asio::redirect_error(asio::use_awaitable, failure));
  co_return ToResult("TLS handshake", failure);
}

asio::awaitable<result<void>> caller_stream::Read(frame_buffer& buffer,
                                                  std::size_t size) {
  if (tls_ == nullptr) {
    co_return co_await ReadMore(socket_, buffer, size);
  }
  boost::system::error_code failure;
  const std::span<char> space = buffer.Prepare(size);
  const std::size_t count = co_await tls_->async_read_some(
      asio::buffer(space.data(), space.size()),
      asio::redirect_error(asio::use_awaitable, failure));
  buffer.Commit(count);
  co_return ToResult("read", failure);
}

asio::awaitable<result<void>> caller_stream::Write(std::string_view bytes) {
  ++writes_;
  is_writing_ = true;
  result<void> written = co_await WriteToStream(bytes);
  is_writing_ = false;
  co_return written;
}

asio::awaitable<result<void>> caller_stream::WriteToStream(
    std::string_view bytes) {
  if (tls_ == nullptr) {
    co_return co_await WriteAll(socket_, bytes);
  }
  boost::system::error_code failure;
  co_await asio::async_write(
      *tls_, asio::buffer(bytes.data(), bytes.size()),
      asio::redirect_error(asio::use_awaitable, failure));
  co_return ToResult("write", failure);
}

void caller_stream::SendAndClose(std::string_view bytes) {
  if (tls_ == nullptr && socket_.is_open()) {
    static_cast<void>(::send(socket_.native_handle(), bytes.data(),
                             bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }
  Close();
}

void caller_stream::SendAndShutdownWrite(std::string_view bytes) {
  if (tls_ != nullptr) {
    Close();
    return;
  }
  static_cast<void>(::send(socket_.native_handle(), bytes.data(), bytes.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL));
  boost::system::error_code ignored;
  socket_.shutdown(stream_socket::shutdown_send, ignored);
}

bool caller_stream::HasInput() const {
  boost::system::error_code ignored;
  return socket_.available(ignored) > 0;
}

void caller_stream::Close() {
  boost::system::error_code ignored;
  socket_.shutdown(stream_socket::shutdown_both, ignored);
  socket_.close(ignored);
}

}  // namespace sassafraswick
