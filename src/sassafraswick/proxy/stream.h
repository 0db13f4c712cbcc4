#ifndef SASSAFRASWICK_PROXY_STREAM_H_
#define SASSAFRASWICK_PROXY_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <optional>

#include "sassafraswick/core/error.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/wire/frame.h"

/// @file
/// Coroutines that read frames from TCP streams and return errors as values.

namespace sassafraswick {

/// Buffer size of one read from an active stream.
inline constexpr std::size_t kReadBytes = 16'384;
/// Buffer size of one read from a stream that may stay idle for long; small, to
/// save memory.
inline constexpr std::size_t kIdleReadBytes = 512;

/// Waits for input and reads what has arrived, at least one byte.
/// @return `error_kind::kClosed` at the end of the stream.
boost::asio::awaitable<result<void>> ReadMore(stream_socket& socket,
                                              frame_buffer& buffer,
                                              std::size_t size = kReadBytes);

/// Reads until the buffer starts with a whole frame, which stays in the buffer.
/// @param max_size Largest frame accepted, in bytes.
boost::asio::awaitable<result<frame_header>> ReadFrame(
    stream_socket& socket, frame_buffer& buffer, std::size_t max_size,
    std::size_t read_size = kReadBytes);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_STREAM_H_
