#ifndef SASSAFRASWICK_GATEWAY_POOLED_CONNECTION_H_
#define SASSAFRASWICK_GATEWAY_POOLED_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/session/codec.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// A pooled connection to a target, opened on behalf of one organisation.

namespace sassafraswick {

/// Responses to a batch; fewer than expected if the connection ended or timed
/// out.
struct exchange_outcome {
  std::vector<statement_result> results;
  /// The target closed the connection, the connection failed, or a response
  /// violated the protocol. False after a timeout.
  bool closed = false;
};

template <session_codec Codec>
class pooled_connection
    : public std::enable_shared_from_this<pooled_connection<Codec>> {
 public:
  /// @param socket A connected socket.
  pooled_connection(stream_socket socket, std::string organisation)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        organisation_(std::move(organisation)) {}

  /// Sends a batch and reads the responses.
  /// @param count Number of responses to the batch.
  /// @param timeout Time after which the connection is closed.
  boost::asio::awaitable<exchange_outcome> Exchange(std::string bytes,
                                                    std::size_t count,
                                                    duration timeout) {
    namespace asio = boost::asio;
    exchange_outcome outcome;
    StartTimer(timeout);
    boost::system::error_code failure;
    co_await asio::async_write(
        socket_, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, failure));
    while (!failure && outcome.results.size() < count) {
      if (!TakeResults(outcome, count)) {
        failure = asio::error::invalid_argument;
      }
      if (failure || outcome.results.size() >= count) {
        break;
      }
      const std::size_t used = input_.size();
      input_.resize(used + kReadBytes);
      const std::size_t got = co_await socket_.async_read_some(
          asio::buffer(input_.data() + used, kReadBytes),
          asio::redirect_error(asio::use_awaitable, failure));
      input_.resize(used + got);
    }
    if (input_.empty() && input_.capacity() > kMaxIdleInputBytes) {
      input_ = std::string();
    }
    ++exchange_;
    timer_.cancel();
    if (failure) {
      outcome.closed = !timed_out_;
      Close();
    }
    co_return outcome;
  }

  void Close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] bool IsOpen() const { return socket_.is_open(); }

  /// Returns whether the target has closed the idle connection, or sent data
  /// without a request.
  [[nodiscard]] bool IsStale() {
    boost::system::error_code failure;
    char byte = 0;
    socket_.non_blocking(true, failure);
    const std::size_t got =
        socket_.receive(boost::asio::buffer(&byte, 1),
                        boost::asio::socket_base::message_peek, failure);
    return got > 0 || failure != boost::asio::error::would_block;
  }

  [[nodiscard]] const std::string& Organisation() const {
    return organisation_;
  }

  /// Session state that the connection holds.
  connection_session_state carried_state;
  /// When the connection was last released to the pool.
  time_point idle_since;

 private:
  static constexpr std::size_t kReadBytes = 4096;
  /// Largest input buffer that an idle connection keeps.
  static constexpr std::size_t kMaxIdleInputBytes = 65'536;

  /// Parses complete frames from the input.
  /// @return False if the input violates the protocol.
  bool TakeResults(exchange_outcome& outcome, std::size_t count) {
    std::size_t begin = 0;
    while (outcome.results.size() < count) {
      const std::size_t end = input_.find(Codec::kTerminator, begin);
      if (end == std::string::npos) {
        break;
      }
      result<std::optional<statement_result>> parsed =
          reader_.Feed(std::string_view(input_).substr(begin, end - begin));
      if (!parsed) {
        return false;
      }
      if (parsed.value().has_value()) {
        outcome.results.push_back(std::move(*parsed.value()));
      }
      begin = end + std::string_view(Codec::kTerminator).size();
    }
    input_.erase(0, begin);
    return true;
  }

  void StartTimer(duration timeout) {
    timed_out_ = false;
    timer_.expires_after(timeout);
    timer_.async_wait([self = this->shared_from_this(), exchange = exchange_](
                          const boost::system::error_code& cancelled) {
      if (!cancelled && self->exchange_ == exchange) {
        self->timed_out_ = true;
        self->Close();
      }
    });
  }

  stream_socket socket_;
  boost::asio::steady_timer timer_;
  std::string organisation_;
  std::string input_;
  typename Codec::result_reader reader_;
  bool timed_out_ = false;
  /// Counts exchanges, so that an outdated timer does not close the connection
  /// during the next one.
  std::uint64_t exchange_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_POOLED_CONNECTION_H_
