#include "sassafraswick/peer/peer_link.h"

#include <sodium.h>

#include <algorithm>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

#include "sassafraswick/net/spawn.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kSignatureBytes = 16;
constexpr int kMaxQueuedMessages = 1000;
/// Enough for the homes of all instances and some hubs. Pending responses are
/// lost when the least recently used connection is closed.
constexpr std::size_t kMaxOutgoingConnections = 80;
constexpr std::int64_t kMaxMessageBytes = 4'194'304;

/// Heartbeat interval and timeout, which detect connections that stop carrying
/// data without a reset. A hub that does not respond is bypassed after 250 ms,
/// so this only bounds the time until its connection is replaced.
constexpr std::chrono::milliseconds kHeartbeatInterval(2000);
/// Time after which a connection is closed if sent data is not acknowledged.
constexpr std::chrono::milliseconds kTcpRetransmitTimeout(2000);

const unsigned char* Unsigned(std::string_view bytes) noexcept {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::string ZmqAddress(const endpoint& at) {
  return "tcp://" + FormatEndpoint(at);
}

std::string_view View(const zmq::message_t& part) {
  return {static_cast<const char*>(part.data()), part.size()};
}

/// Receives all parts of the next message, or nothing if none is queued.
std::vector<zmq::message_t> ReceiveParts(zmq::socket_t& socket) {
  std::vector<zmq::message_t> parts;
  bool more = true;
  while (more) {
    zmq::message_t part;
    if (!socket.recv(part, zmq::recv_flags::dontwait).has_value()) {
      break;
    }
    more = part.more();
    parts.push_back(std::move(part));
  }
  return parts;
}

void SendSigned(zmq::socket_t& socket, std::string_view signature,
                std::string_view payload) {
  const zmq::send_flags dont_wait = zmq::send_flags::dontwait;
  const zmq::send_result_t first =
      socket.send(zmq::buffer(signature), zmq::send_flags::sndmore | dont_wait);
  if (first.has_value()) {
    static_cast<void>(socket.send(zmq::buffer(payload), dont_wait));
  }
}

void SetTimeouts(zmq::socket_t& socket) {
  const int heartbeat = static_cast<int>(kHeartbeatInterval.count());
  socket.set(zmq::sockopt::heartbeat_ivl, heartbeat);
  socket.set(zmq::sockopt::heartbeat_timeout, heartbeat);
  socket.set(zmq::sockopt::tcp_maxrt,
             static_cast<int>(kTcpRetransmitTimeout.count()));
}

}  // namespace

message_authenticator::message_authenticator(std::string_view secret) {
  constexpr std::string_view kPurpose = "sassafraswick peer messages";
  crypto_generichash(
      key_.data(), key_.size(), Unsigned(kPurpose), kPurpose.size(),
      Unsigned(secret),
      std::min<std::size_t>(secret.size(), crypto_generichash_KEYBYTES_MAX));
}

std::string message_authenticator::Sign(std::string_view payload) const {
  std::string signature(kSignatureBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(signature.data()),
                     signature.size(), Unsigned(payload), payload.size(),
                     key_.data(), key_.size());
  return signature;
}

bool message_authenticator::Verify(std::string_view payload,
                                   std::string_view signature) const {
  const std::string expected = Sign(payload);
  return signature.size() == expected.size() &&
         sodium_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

peer_link::peer_link(asio::io_context& context, peer_identity identity,
                     std::string_view secret)
    : context_(context),
      identity_(std::move(identity)),
      authenticator_(secret),
      router_(zmq_context_, zmq::socket_type::router) {}

result<void> peer_link::Start(handler on_message, duration poll_interval) {
  poll_interval_ = poll_interval;
  on_message_ = std::move(on_message);
  router_.set(zmq::sockopt::linger, 0);
  router_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  router_.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  router_.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  SetTimeouts(router_);
  try {
    router_.bind(ZmqAddress(identity_.listen));
  } catch (const zmq::error_t& failure) {
    return MakeError(error_kind::kIo, "listen on " +
                                          FormatEndpoint(identity_.listen) +
                                          ": " + failure.what());
  }
  Spawn(context_, "peers", [this] { return Receive(); });
  return boost::outcome_v2::success();
}

asio::awaitable<void> peer_link::Receive() {
  asio::posix::stream_descriptor descriptor(context_,
                                            router_.get(zmq::sockopt::fd));
  asio::steady_timer poll_timer(context_);
  while (true) {
    ReceivePending();
    poll_timer.expires_after(poll_interval_);
    poll_timer.async_wait(
        [&descriptor](const boost::system::error_code& stopped) {
          if (!stopped) {
            descriptor.cancel();
          }
        });
    boost::system::error_code ignored;
    co_await descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        asio::redirect_error(asio::use_awaitable, ignored));
    poll_timer.cancel();
  }
}

void peer_link::ReceivePending() {
  constexpr std::size_t kMessageParts = 3;
  while (true) {
    const std::vector<zmq::message_t> parts = ReceiveParts(router_);
    if (parts.empty()) {
      return;
    }
    if (parts.size() != kMessageParts ||
        !authenticator_.Verify(View(parts[2]), View(parts[1]))) {
      continue;
    }
    message::envelope received;
    if (received.ParseFromArray(parts[2].data(),
                                static_cast<int>(parts[2].size()))) {
      Handle(received, std::string(View(parts[0])));
    }
  }
}

void peer_link::ReceiveIfPending() {
  const bool has_message =
      (router_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
  if (!has_message || receive_posted_) {
    return;
  }
  receive_posted_ = true;
  asio::post(context_, [this] {
    receive_posted_ = false;
    ReceivePending();
  });
}

void peer_link::Handle(const message::envelope& received,
                       const std::string& route) {
  // A message whose handler fails must not end the receive loop.
  try {
    on_message_(received, route);
  } catch (...) {
    LogTaskError("peer message", std::current_exception());
  }
}

std::string peer_link::EncodeEnvelope(message::envelope& envelope) {
  envelope.set_host(identity_.host);
  envelope.set_boot(identity_.boot);
  std::string payload = envelope.SerializeAsString();
  ++messages_sent_;
  bytes_sent_ += payload.size() + kSignatureBytes;
  return payload;
}

void peer_link::Send(const endpoint& to, message::envelope envelope) {
  auto found = outgoing_.find(to);
  if (found == outgoing_.end()) {
    CloseLeastRecentlyUsed();
    found = outgoing_.emplace(to, outgoing_connection{Connect(to), {}}).first;
  }
  found->second.last_used_at = monotonic_clock::now();
  SendToRoute(found->second.route, envelope);
}

std::string peer_link::Connect(const endpoint& to) {
  // ZeroMQ does not release a routing id immediately when its connection is
  // closed, so every connection gets a new one.
  std::string route =
      FormatEndpoint(to) + "/" + std::to_string(++connections_opened_);
  router_.set(zmq::sockopt::connect_routing_id, route);
  router_.connect(ZmqAddress(to));
  return route;
}

void peer_link::CloseLeastRecentlyUsed() {
  if (outgoing_.size() < kMaxOutgoingConnections) {
    return;
  }
  const auto oldest = std::min_element(
      outgoing_.begin(), outgoing_.end(),
      [](const std::pair<const endpoint, outgoing_connection>& left,
         const std::pair<const endpoint, outgoing_connection>& right) {
        return left.second.last_used_at < right.second.last_used_at;
      });
  router_.disconnect(ZmqAddress(oldest->first));
  outgoing_.erase(oldest);
}

void peer_link::Reply(const std::string& route, message::envelope envelope) {
  SendToRoute(route, envelope);
}

void peer_link::SendToRoute(const std::string& route,
                            message::envelope& envelope) {
  const std::string payload = EncodeEnvelope(envelope);
  const zmq::send_result_t routed = router_.send(
      zmq::buffer(route), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
  if (routed.has_value()) {
    SendSigned(router_, authenticator_.Sign(payload), payload);
  }
  ReceiveIfPending();
}

result<message::envelope> QueryHost(const endpoint& host,
                                    std::string_view secret,
                                    const message::envelope& request,
                                    std::chrono::milliseconds timeout) {
  const message_authenticator authenticator(secret);
  zmq::context_t zmq_context(1);
  zmq::socket_t socket(zmq_context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(timeout.count()));
  socket.connect(ZmqAddress(host));
  const std::string payload = request.SerializeAsString();
  SendSigned(socket, authenticator.Sign(payload), payload);
  zmq::message_t signature;
  zmq::message_t response;
  const bool received =
      socket.recv(signature).has_value() && socket.recv(response).has_value();
  message::envelope parsed;
  if (!received) {
    return MakeError(error_kind::kTimeout,
                     "host at " + FormatEndpoint(host) +
                         " did not reply within the timeout");
  }
  if (!authenticator.Verify(View(response), View(signature)) ||
      !parsed.ParseFromArray(response.data(),
                             static_cast<int>(response.size()))) {
    return MakeError(error_kind::kProtocol,
                     "host at " + FormatEndpoint(host) +
                         " sent a reply that cannot be authenticated or "
                         "parsed");
  }
  return parsed;
}

}  // namespace sassafraswick
