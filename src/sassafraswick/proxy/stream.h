#ifndef SASSAFRASWICK_PROXY_STREAM_H_
#define SASSAFRASWICK_PROXY_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// Reading and writing TCP streams from coroutines, with errors as values.

namespace sassafraswick {

using stream_socket = boost::asio::ip::tcp::socket;

/// Bytes asked for by one read of a busy stream.
inline constexpr std::size_t kReadSize = 16'384;
/// Bytes asked for by one read of a stream that may stay idle for long.
inline constexpr std::size_t kIdleReadSize = 512;

/// Reads what has arrived, at least one byte.
/// @return `error_kind::kClosed` at the end of the stream.
boost::asio::awaitable<result<void>> ReadMore(stream_socket& socket,
                                              frame_buffer& buffer,
                                              std::size_t size = kReadSize);

/// Reads until a whole frame stands at the front of the buffer.
/// @param limit Largest frame accepted, in bytes.
boost::asio::awaitable<result<frame_header>> ReadFrame(
    stream_socket& socket, frame_buffer& buffer, std::size_t limit,
    std::size_t read_size = kReadSize);

/// Writes all bytes.
boost::asio::awaitable<result<void>> WriteAll(stream_socket& socket,
                                              std::string_view bytes);

/// Connects to an address.
/// @param limit Time after which the attempt is given up.
boost::asio::awaitable<result<stream_socket>> Connect(endpoint address,
                                                      duration limit);

/// Parses an endpoint that settings have already checked.
[[nodiscard]] boost::asio::ip::tcp::endpoint ToTcp(const endpoint& address);

/// Opens a listening socket.
/// @return `error_kind::kIo` naming the address.
[[nodiscard]] result<boost::asio::ip::tcp::acceptor> Listen(
    const boost::asio::any_io_executor& executor, const endpoint& address);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_STREAM_H_
