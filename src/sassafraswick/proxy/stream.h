#ifndef SASSAFRASWICK_PROXY_STREAM_H_
#define SASSAFRASWICK_PROXY_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <optional>

#include "sassafraswick/core/error.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// Reading frames from TCP streams in coroutines, with errors as values.

namespace sassafraswick {

/// Bytes asked for by one read of a busy stream.
inline constexpr std::size_t kReadBytes = 16'384;
/// Bytes asked for by one read of a stream that may stay idle for long.
inline constexpr std::size_t kIdleReadBytes = 512;

/// Reads what has arrived, at least one byte.
/// @return `error_kind::kClosed` at the end of the stream.
boost::asio::awaitable<result<void>> ReadMore(stream_socket& socket,
                                              frame_buffer& buffer,
                                              std::size_t size = kReadBytes);

/// Reads until a whole frame stands at the front of the buffer.
/// @param limit Largest frame accepted, in bytes.
boost::asio::awaitable<result<frame_header>> ReadFrame(
    stream_socket& socket, frame_buffer& buffer, std::size_t max_size,
    std::size_t read_size = kReadBytes);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_STREAM_H_
