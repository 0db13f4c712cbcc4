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
/// TCP sockets in coroutines, with errors as values.

namespace sassafraswick {

using stream_socket = boost::asio::ip::tcp::socket;

/// A connection whose far end went dark is given up after idle + interval x
/// probes, 4 s: the users' shortest `contact_ms`.
inline constexpr std::chrono::duration<int> kKeepaliveIdle{1};
inline constexpr std::chrono::duration<int> kKeepaliveInterval{1};
inline constexpr int kKeepaliveProbes = 3;
/// The same for bytes that stay unacknowledged.
inline constexpr std::chrono::duration<int, std::milli> kTcpUserTimeout{4000};

/// Builds an error from a failed operation.
/// @return `error_kind::kClosed` if the other side refused, reset or ended the
/// connection, else `error_kind::kIo`.
[[nodiscard]] error IoError(const std::string& operation,
                            const boost::system::error_code& failure);

/// Writes all bytes.
boost::asio::awaitable<result<void>> WriteAll(stream_socket& socket,
                                              std::string_view bytes);

/// Connects to an address.
/// @param limit Time after which the attempt is given up.
boost::asio::awaitable<result<stream_socket>> Connect(endpoint address,
                                                      duration timeout);

/// Parses an endpoint that settings have already checked.
[[nodiscard]] boost::asio::ip::tcp::endpoint ToTcpEndpoint(
    const endpoint& address);

/// Opens a listening socket.
/// @return `error_kind::kIo` naming the address.
[[nodiscard]] result<boost::asio::ip::tcp::acceptor> Listen(
    const boost::asio::any_io_executor& executor, const endpoint& address);

/// Makes the kernel notice a far end that went dark without a reset.
void EnableKeepalive(stream_socket& socket);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_TCP_H_
