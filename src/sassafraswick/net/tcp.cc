#include "sassafraswick/net/tcp.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace sassafraswick {

namespace asio = boost::asio;

error IoError(const std::string& operation,
              const boost::system::error_code& failure) {
  const bool closed = failure == asio::error::connection_refused ||
                      failure == asio::error::connection_reset ||
                      failure == asio::error::broken_pipe ||
                      failure == asio::error::eof;
  return MakeError(closed ? error_kind::kClosed : error_kind::kIo,
                   operation + ": " + failure.message());
}

asio::awaitable<result<void>> WriteAll(stream_socket& socket,
                                       std::string_view bytes) {
  boost::system::error_code failure;
  co_await asio::async_write(
      socket, asio::buffer(bytes.data(), bytes.size()),
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return IoError("write", failure);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<stream_socket>> Connect(endpoint address,
                                               duration timeout) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  std::shared_ptr<stream_socket> socket =
      std::make_shared<stream_socket>(executor);
  std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(executor, timeout);
  timer->async_wait([socket](const boost::system::error_code& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) {
      socket->close(ignored);
    }
  });
  boost::system::error_code failure;
  co_await socket->async_connect(
      ToTcpEndpoint(address),
      asio::redirect_error(asio::use_awaitable, failure));
  timer->cancel();
  if (failure || !socket->is_open()) {
    co_return IoError("connect to " + FormatEndpoint(address), failure);
  }
  boost::system::error_code ignored;
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
  co_return std::move(*socket);
}

asio::ip::tcp::endpoint ToTcpEndpoint(const endpoint& address) {
  boost::system::error_code invalid;
  const asio::ip::address parsed =
      asio::ip::make_address(address.address, invalid);
  return {parsed, address.port};
}

result<asio::ip::tcp::acceptor> Listen(const asio::any_io_executor& executor,
                                       const endpoint& address) {
  asio::ip::tcp::acceptor acceptor(executor);
  const asio::ip::tcp::endpoint local = ToTcpEndpoint(address);
  boost::system::error_code failure;
  acceptor.open(local.protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(local, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return IoError("listen on " + FormatEndpoint(address), failure);
  }
  return acceptor;
}

void LimitSocketBuffers(asio::ip::tcp::acceptor& acceptor, int bytes) {
  boost::system::error_code ignored;
  acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  acceptor.set_option(asio::socket_base::send_buffer_size(bytes), ignored);
}

void SetResetOnClose(stream_socket& socket, bool enabled) {
  // Asio's destructor turns off a linger time that was set by `set_option`.
  ::linger option{};
  option.l_onoff = enabled ? 1 : 0;
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
}

void EnableKeepalive(stream_socket& socket) {
  using idle_option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using interval_option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using count_option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using user_timeout_option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(idle_option(kKeepaliveIdle.count()), ignored);
  socket.set_option(interval_option(kKeepaliveInterval.count()), ignored);
  socket.set_option(count_option(kKeepaliveProbes), ignored);
  socket.set_option(user_timeout_option(kTcpUserTimeout.count()), ignored);
}

}  // namespace sassafraswick
