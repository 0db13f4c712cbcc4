#include "sassafraswick/proxy/stream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <span>

namespace sassafraswick {

namespace asio = boost::asio;

asio::awaitable<result<void>> ReadMore(stream_socket& socket,
                                       frame_buffer& buffer, std::size_t size) {
  boost::system::error_code failure;
  const std::span<char> space = buffer.Prepare(size);
  const std::size_t count = co_await socket.async_read_some(
      asio::buffer(space.data(), space.size()),
      asio::redirect_error(asio::use_awaitable, failure));
  buffer.Commit(count);
  if (failure) {
    co_return IoError("read", failure);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<frame_header>> ReadFrame(stream_socket& socket,
                                                frame_buffer& buffer,
                                                std::size_t max_size,
                                                std::size_t read_size) {
  while (true) {
    const result<std::optional<frame_header>> header = buffer.Header();
    if (!header) {
      co_return header.error();
    }
    if (header.value().has_value()) {
      const frame_header found = *header.value();
      if (found.size > max_size) {
        co_return MakeError(error_kind::kProtocol,
                            "frame of " + std::to_string(found.size) +
                                " bytes exceeds the limit of " +
                                std::to_string(max_size));
      }
      if (buffer.Data().size() >= found.size) {
        co_return found;
      }
    }
    const result<void> received = co_await ReadMore(socket, buffer, read_size);
    if (!received) {
      co_return received.error();
    }
  }
}

}  // namespace sassafraswick
