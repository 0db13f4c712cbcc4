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
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/connection_borrower.h"
#include "sassafraswick/gateway/instance_gate.h"
#include "sassafraswick/gateway/retry_hint.h"
#include "sassafraswick/net/tcp.h"
#include "sassafraswick/session/codec.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// A pooled connection to a target, opened on behalf of one organisation, or
/// one that is borrowed from another host's pool.

namespace sassafraswick {

/// Responses to a batch; fewer than expected if the connection ended or timed
/// out.
struct exchange_outcome {
  std::vector<statement_result> results;
  /// The target closed the connection, the connection failed, or a response
  /// violated the protocol. False after a timeout.
  bool closed = false;
  /// The target's home rejected the batch; no statement was run, and `results`
  /// say so.
  bool rejected = false;
  /// The home is at fault, which shows nothing about the target.
  bool home_failed = false;
  /// The responses as they were received, without those to skip.
  std::string bytes;
};

/// Admission of the statements on a connection of an instance's home.
struct connection_admission {
  std::shared_ptr<instance_gate> gate;
  /// Of the next statement; later ones of a transaction ask for their own.
  std::shared_ptr<admission_ticket> ticket;
  std::uint32_t priority = 1;
  duration expected_work = duration::zero();
};

template <session_codec Codec>
class pooled_connection
    : public std::enable_shared_from_this<pooled_connection<Codec>> {
 public:
  /// @param socket A connected socket.
  pooled_connection(stream_socket socket, std::string organisation)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        organisation_(std::move(organisation)),
        connected_at_(monotonic_clock::now()) {}

  /// Makes a connection that is borrowed from another host.
  pooled_connection(const boost::asio::any_io_executor& executor,
                    std::shared_ptr<borrowed_connection> borrowed,
                    std::string organisation)
      : socket_(executor),
        timer_(executor),
        borrowed_(std::move(borrowed)),
        organisation_(std::move(organisation)) {}

  /// Sends a batch and reads the responses.
  /// @param count Number of responses to the batch.
  /// @param timeout Time after which the connection is closed.
  /// @param skipped Number of first responses to leave out of
  /// `exchange_outcome::bytes`, which is filled if this is given.
  boost::asio::awaitable<exchange_outcome> Exchange(
      std::string bytes, std::size_t count, duration timeout,
      std::optional<std::size_t> skipped = std::nullopt) {
    if (borrowed_ != nullptr) {
      co_return co_await ExchangeBorrowed(std::move(bytes), count, timeout);
    }
    const time_point deadline = monotonic_clock::now() + timeout;
    const bool admitted = co_await IsAdmitted(deadline);
    if (!admitted) {
      Close();
      exchange_outcome not_sent;
      not_sent.home_failed = true;
      co_return not_sent;
    }
    skipped_ = skipped;
    const duration left =
        std::chrono::duration_cast<duration>(deadline - monotonic_clock::now());
    exchange_outcome outcome =
        co_await ExchangeHere(std::move(bytes), count, left);
    admission.ticket.reset();
    const bool is_full = !outcome.results.empty() &&
                         outcome.results.back().failure == failure_code::kBusy;
    if (admission.gate != nullptr && is_full) {
      admission.gate->RecordFull();
    }
    co_return outcome;
  }

  /// Closes the connection, by a reset while a response is outstanding: a
  /// request that a partition holds up must not run once it has been given up.
  void Close() {
    if (borrowed_ != nullptr) {
      borrowed_->Close();
    }
    if (awaits_response_ && socket_.is_open()) {
      SetResetOnClose(socket_, true);
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] bool IsOpen() const {
    return borrowed_ != nullptr ? borrowed_->IsOpen() : socket_.is_open();
  }

  [[nodiscard]] bool IsBorrowed() const { return borrowed_ != nullptr; }

  /// When the connection was opened, unless it is borrowed.
  [[nodiscard]] time_point ConnectedAt() const noexcept {
    return connected_at_;
  }

  /// When the target last answered over this connection.
  [[nodiscard]] time_point AnsweredAt() const noexcept { return answered_at_; }

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
  /// Bytes sent and received that the pool has not counted.
  std::size_t traffic = 0;
  /// When the connection was last released to the pool.
  time_point idle_since;
  /// While leased at the instance's home.
  connection_admission admission;

 private:
  static constexpr std::size_t kReadBytes = 4096;
  /// Largest input buffer that an idle connection keeps.
  static constexpr std::size_t kMaxIdleInputBytes = 65'536;

  /// Waits for the admission of a further statement of a transaction, unless
  /// this host admits none or the statement has its ticket.
  boost::asio::awaitable<bool> IsAdmitted(time_point deadline) {
    if (admission.gate == nullptr || admission.ticket != nullptr) {
      co_return true;
    }
    admission_request request;
    request.priority = admission.priority;
    request.in_transaction = true;
    request.organisation = organisation_;
    request.expected_work = admission.expected_work;
    request.latest_start = deadline;
    const admission_outcome admitted =
        co_await admission.gate->Admit(std::move(request));
    admission.ticket = admitted.ticket;
    co_return admission.ticket != nullptr;
  }

  boost::asio::awaitable<exchange_outcome> ExchangeBorrowed(std::string bytes,
                                                            std::size_t count,
                                                            duration timeout) {
    exchange_outcome outcome;
    lent_response response =
        co_await borrowed_->Exchange(std::move(bytes), count, timeout);
    outcome.closed = response.closed;
    outcome.home_failed = response.home_failed;
    outcome.rejected = response.rejected;
    if (response.rejected) {
      statement_result busy;
      busy.failure = failure_code::kBusy;
      busy.detail =
          "the instance has no room, " + RetryHint(response.retry_after);
      outcome.results.assign(count, busy);
      co_return outcome;
    }
    input_ = std::move(response.bytes);
    if (!TakeResults(outcome, count)) {
      outcome.closed = true;
      Close();
    }
    co_return outcome;
  }

  boost::asio::awaitable<exchange_outcome> ExchangeHere(std::string bytes,
                                                        std::size_t count,
                                                        duration timeout) {
    namespace asio = boost::asio;
    exchange_outcome outcome;
    StartTimer(timeout);
    traffic += bytes.size();
    awaits_response_ = true;
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
      traffic += got;
    }
    if (input_.empty() && input_.capacity() > kMaxIdleInputBytes) {
      input_ = std::string();
    }
    ++exchange_;
    timer_.cancel();
    if (failure) {
      outcome.closed = !timed_out_;
      Close();
    } else {
      answered_at_ = monotonic_clock::now();
    }
    awaits_response_ = false;
    co_return outcome;
  }

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
      const std::size_t next =
          end + std::string_view(Codec::kTerminator).size();
      if (skipped_.has_value() && outcome.results.size() >= *skipped_) {
        outcome.bytes.append(input_, begin, next - begin);
      }
      if (parsed.value().has_value()) {
        outcome.results.push_back(std::move(*parsed.value()));
      }
      begin = next;
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
  /// For a connection of another host.
  std::shared_ptr<borrowed_connection> borrowed_;
  std::string organisation_;
  time_point connected_at_;
  time_point answered_at_;
  std::string input_;
  std::optional<std::size_t> skipped_;
  typename Codec::result_reader reader_;
  bool timed_out_ = false;
  bool awaits_response_ = false;
  /// Counts exchanges, so that an outdated timer does not close the connection
  /// during the next one.
  std::uint64_t exchange_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_POOLED_CONNECTION_H_
