#ifndef SASSAFRASWICK_GATEWAY_CONNECTION_BORROWER_H_
#define SASSAFRASWICK_GATEWAY_CONNECTION_BORROWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/lease_request.h"
#include "sassafraswick/lending/home_choice.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// The entry host's side of lent connections: asks an instance's homes for a
/// connection, and sends statements over it.

namespace sassafraswick {

/// How `connection_borrower` reaches other hosts.
struct borrower_environment {
  /// Name of this host.
  std::string host;
  /// Returns where a host is reached; empty if it is not registered.
  std::function<std::optional<endpoint>(const std::string& host)> find_address;
  std::function<void(const endpoint& to, message::envelope envelope)> send;
};

enum class borrow_outcome : std::uint8_t {
  kGranted,
  /// The home cannot serve the request in time.
  kRejected,
  /// No home lends a connection: none answered, or all have other reasons.
  kUnavailable,
  /// The remaining homes begin with this host.
  kServeHere,
};

/// What came back for a batch of statements.
struct lent_response {
  /// The instance's responses; fewer than expected after a failure.
  std::string bytes;
  /// The instance closed the connection or violated the protocol.
  bool closed = false;
  /// The home rejected the batch: it was not run.
  bool rejected = false;
  /// The home failed or did not lend a connection, which shows nothing about
  /// the instance.
  bool home_failed = false;
  /// Why there is no response.
  std::string reason;
};

class connection_borrower;

/// A connection that is borrowed from an instance's home, or will be with the
/// first batch. Used by one operation.
class borrowed_connection
    : public std::enable_shared_from_this<borrowed_connection> {
 public:
  /// @param homes Homes of the instance, best first.
  borrowed_connection(connection_borrower& borrower, std::string pool,
                      std::string instance, std::vector<std::string> homes,
                      lease_request request);
  borrowed_connection(const borrowed_connection&) = delete;
  borrowed_connection& operator=(const borrowed_connection&) = delete;
  ~borrowed_connection();

  /// Asks one home after another for a connection until one grants it or
  /// rejects the request. Nothing is run meanwhile. For a single read, only
  /// chooses the home.
  boost::asio::awaitable<borrow_outcome> Acquire();

  /// Sends a batch and waits for the responses. A single read asks for its
  /// connection in the same message, and goes to the next home if one is
  /// silent.
  /// @param count Number of responses to the batch.
  boost::asio::awaitable<lent_response> Exchange(std::string bytes,
                                                 std::size_t count,
                                                 duration timeout);

  /// Returns the connection to its home, which closes it unless it is idle.
  void Close();

  [[nodiscard]] bool IsOpen() const { return !is_over_; }

  /// For a rejection: when to come back.
  [[nodiscard]] duration RetryAfter() const { return retry_after_; }

 private:
  friend class connection_borrower;

  /// Chooses the home to ask next.
  /// @return False if none is left.
  bool ChooseNext();
  /// Asks the chosen home, together with a batch if there is one.
  void Ask(const message::lent_batch* batch, time_point deadline);
  boost::asio::awaitable<lent_response> RunSingle(message::lent_batch batch,
                                                  time_point deadline);
  /// Waits until the home has answered the request.
  /// @return False if it is silent for `kHomeAnswerTimeout`.
  boost::asio::awaitable<bool> AwaitAnswer(time_point deadline);
  boost::asio::awaitable<void> AwaitResult(time_point deadline);
  lent_response TakeResult();
  /// Stops to use the lease.
  void Abandon();
  void Log(std::string_view reason) const;
  lent_response Fail(std::string_view reason);

  void OnAnswer(const message::lend_answer& answer);
  void OnResult(const message::lent_result& result);

  connection_borrower& borrower_;
  /// Expires with `borrower_`, which a connection may outlive when the process
  /// ends.
  std::weak_ptr<connection_borrower> owner_;
  std::string pool_;
  std::string instance_;
  std::vector<std::string> homes_;
  lease_request request_;
  std::size_t next_home_ = 0;
  bool is_served_here_ = false;
  /// The present lease and its home.
  std::uint64_t lease_ = 0;
  std::string home_;
  endpoint address_;
  std::uint64_t sequence_ = 0;
  std::optional<message::lend_answer> answer_;
  std::optional<message::lent_result> result_;
  bool is_over_ = false;
  duration retry_after_ = duration::zero();
  async_event changed_;
};

/// Borrows connections from the homes of instances.
class connection_borrower
    : public std::enable_shared_from_this<connection_borrower> {
 public:
  connection_borrower(boost::asio::any_io_executor executor,
                      gateway_counters& counters)
      : executor_(std::move(executor)), counters_(counters) {}

  /// Allows to borrow connections.
  void Enable(borrower_environment environment) {
    environment_ = std::move(environment);
    enabled_ = true;
  }

  [[nodiscard]] bool IsEnabled() const noexcept { return enabled_; }
  [[nodiscard]] const std::string& Host() const { return environment_.host; }
  [[nodiscard]] const boost::asio::any_io_executor& Executor() const {
    return executor_;
  }
  [[nodiscard]] home_monitor& Homes() { return homes_; }

  /// Records that a message of a host was received.
  void RecordMessage(std::string_view host) { homes_.RecordMessage(host); }

  /// Handles a home's answer; returns a connection that is granted too late.
  void HandleAnswer(const message::envelope& received);
  void HandleResult(const message::envelope& received);

 private:
  friend class borrowed_connection;

  void SendRelease(const endpoint& home, std::uint64_t lease);

  boost::asio::any_io_executor executor_;
  gateway_counters& counters_;
  borrower_environment environment_;
  bool enabled_ = false;
  home_monitor homes_;
  std::map<std::uint64_t, borrowed_connection*> leases_;
  std::uint64_t last_lease_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CONNECTION_BORROWER_H_
