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
/// One socket listens and connects, so that an answer returns over the
/// connection by which its question came: a host that answers a whole fleet
/// opens no links of its own.

namespace sassafraswick {

/// Signs and checks messages with the fleet's secret.
class message_authenticator {
 public:
  explicit message_authenticator(std::string_view secret);

  [[nodiscard]] std::string Sign(std::string_view payload) const;
  [[nodiscard]] bool Check(std::string_view payload,
                           std::string_view signature) const;

 private:
  static constexpr std::size_t kKeySize = 32;

  std::array<unsigned char, kKeySize> key_{};
};

/// Who sends; copied into every envelope.
struct peer_identity {
  std::string host;
  std::uint64_t boot = 0;
  endpoint listen;
};

/// A host's end of all links to its peers. Single-threaded.
class peer_link {
 public:
  /// @param identity Sender of every message.
  /// @param secret The fleet's secret.
  peer_link(boost::asio::io_context& context, peer_identity identity,
            std::string_view secret);

  /// Called with each authentic message and the route for direct replies.
  using handler = std::function<void(const message::envelope& received,
                                     const std::string& route)>;

  /// Binds and starts receiving.
  [[nodiscard]] result<void> Start(handler on_message);

  /// Sends to a host's listening address.
  void Send(const endpoint& to, message::envelope envelope);

  /// Replies over the connection that a message came by.
  void Reply(const std::string& route, message::envelope envelope);

  [[nodiscard]] const peer_identity& Identity() const noexcept {
    return identity_;
  }
  [[nodiscard]] std::uint64_t MessagesSent() const noexcept {
    return messages_sent_;
  }
  [[nodiscard]] std::uint64_t BytesSent() const noexcept { return bytes_sent_; }

 private:
  /// A link that this host opened.
  struct outgoing_link {
    std::string route;
    time_point used_at;
  };

  boost::asio::awaitable<void> Receive();
  void ReceivePending();
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
  std::map<endpoint, outgoing_link> outgoing_;
  handler on_message_;
  std::uint64_t sequence_ = 0;
  std::uint64_t links_opened_ = 0;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

/// Asks one host a question and waits for its direct reply. For tools.
[[nodiscard]] result<message::envelope> QueryHost(
    const endpoint& host, std::string_view secret,
    const message::envelope& question, std::chrono::milliseconds limit);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_PEER_LINK_H_
