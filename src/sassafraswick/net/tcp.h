#ifndef SASSAFRASWICK_NET_TCP_H_
#define SASSAFRASWICK_NET_TCP_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// Coroutine operations on TCP sockets that return errors as values.

namespace sassafraswick {

using stream_socket = boost::asio::ip::tcp::socket;

/// TCP keepalive. A connection whose peer became unreachable is closed after
/// idle + interval x probes, 4 s, which is the shortest `contact_ms` in the
/// deployment's requirements.
inline constexpr std::chrono::duration<int> kKeepaliveIdle{1};
inline constexpr std::chrono::duration<int> kKeepaliveInterval{1};
inline constexpr int kKeepaliveProbes = 3;
/// The same bound for sent data that is not acknowledged (`TCP_USER_TIMEOUT`).
inline constexpr std::chrono::duration<int, std::milli> kTcpUserTimeout{4000};

/// Converts the error code of a failed operation.
/// @return `error_kind::kClosed` if the peer refused, reset or closed the
/// connection, otherwise `error_kind::kIo`.
[[nodiscard]] error IoError(const std::string& operation,
                            const boost::system::error_code& failure);

/// Writes all bytes.
boost::asio::awaitable<result<void>> WriteAll(stream_socket& socket,
                                              std::string_view bytes);

/// Connects to an address.
boost::asio::awaitable<result<stream_socket>> Connect(endpoint address,
                                                      duration timeout);

/// Converts an endpoint whose address has been validated.
[[nodiscard]] boost::asio::ip::tcp::endpoint ToTcpEndpoint(
    const endpoint& address);

/// Opens a listening socket.
/// @return `error_kind::kIo` naming the address.
[[nodiscard]] result<boost::asio::ip::tcp::acceptor> Listen(
    const boost::asio::any_io_executor& executor, const endpoint& address);

/// Sets the size of the kernel's buffers of each connection that a socket
/// accepts, in bytes.
void LimitSocketBuffers(boost::asio::ip::tcp::acceptor& acceptor, int bytes);

/// Chooses how a connection ends, also by the socket's destructor or with the
/// process: by a reset, which discards what the peer has not received, or in
/// order, after which the kernel still delivers it for seconds.
void SetResetOnClose(stream_socket& socket, bool enabled);

/// Enables detection of a peer that became unreachable without a reset.
void EnableKeepalive(stream_socket& socket);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_TCP_H_
