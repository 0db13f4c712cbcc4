#ifndef SASSAFRASWICK_PEER_PEER_LINK_H_
#define SASSAFRASWICK_PEER_PEER_LINK_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// Messages between hosts: protobuf over ZeroMQ, authenticated with the fleet's
/// secret. Sending never blocks; a message that cannot be queued is dropped.
/// One router socket both listens and connects, so that a response is sent
/// over the connection on which the request arrived: a host that responds to a
/// whole fleet opens no connections for it.

namespace sassafraswick {

/// Interval at which the socket is polled. ZeroMQ's descriptor is
/// edge-triggered, and any use of the socket may consume a notification.
inline constexpr duration kMaxPollInterval = std::chrono::milliseconds(50);

/// Signs and verifies messages with a key derived from the fleet's secret.
class message_authenticator {
 public:
  explicit message_authenticator(std::string_view secret);

  [[nodiscard]] std::string Sign(std::string_view payload) const;
  [[nodiscard]] bool Verify(std::string_view payload,
                            std::string_view signature) const;

 private:
  static constexpr std::size_t kKeyBytes = 32;

  std::array<unsigned char, kKeyBytes> key_{};
};

/// The sending host; copied into every envelope.
struct peer_identity {
  std::string host;
  std::uint64_t boot = 0;
  endpoint listen;
};

/// Exchanges messages with all peers of a host. Not thread-safe.
class peer_link {
 public:
  /// @param identity Sender of every message.
  /// @param secret The fleet's secret.
  peer_link(boost::asio::io_context& context, peer_identity identity,
            std::string_view secret);

  /// Called with each authenticated message and the route to pass to `Reply`.
  using handler = std::function<void(const message::envelope& received,
                                     const std::string& route)>;

  /// Binds the socket and starts the receive loop.
  /// @param poll_interval Longest time until a message is received whose
  /// notification was missed.
  [[nodiscard]] result<void> Start(handler on_message,
                                   duration poll_interval = kMaxPollInterval);

  /// Sends to the address that a host listens on.
  void Send(const endpoint& to, message::envelope envelope);

  /// Replies over the connection on which a message arrived.
  void Reply(const std::string& route, message::envelope envelope);

  [[nodiscard]] const peer_identity& Identity() const noexcept {
    return identity_;
  }
  [[nodiscard]] std::uint64_t MessagesSent() const noexcept {
    return messages_sent_;
  }
  [[nodiscard]] std::uint64_t BytesSent() const noexcept { return bytes_sent_; }

 private:
  /// A connection that this host opened.
  struct outgoing_connection {
    std::string route;
    time_point last_used_at;
  };

  boost::asio::awaitable<void> Receive();
  void ReceivePending();
  /// Receives soon if a message has arrived. Must be called after every use of
  /// the socket except `ReceivePending`: it may have consumed the notification.
  void ReceiveIfPending();
  void Handle(const message::envelope& received, const std::string& route);
  [[nodiscard]] std::string EncodeEnvelope(message::envelope& envelope);
  [[nodiscard]] std::string Connect(const endpoint& to);
  void SendToRoute(const std::string& route, message::envelope& envelope);
  void CloseLeastRecentlyUsed();

  boost::asio::io_context& context_;
  peer_identity identity_;
  message_authenticator authenticator_;
  zmq::context_t zmq_context_{1};
  zmq::socket_t router_;
  std::map<endpoint, outgoing_connection> outgoing_;
  handler on_message_;
  duration poll_interval_ = kMaxPollInterval;
  bool receive_posted_ = false;
  std::uint64_t connections_opened_ = 0;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

/// Sends a request to one host and waits for the response. Blocks, for use by
/// command-line tools.
[[nodiscard]] result<message::envelope> QueryHost(
    const endpoint& host, std::string_view secret,
    const message::envelope& request, std::chrono::milliseconds timeout);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_PEER_LINK_H_
