#ifndef REVIEW_STAND_IN_3_SOCKETS_H_
#define REVIEW_STAND_IN_3_SOCKETS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/support/process.h"

/// @file
/// A listener on loopback that serves each connection in a thread of its own.

namespace review {

/// @return False if the connection has failed.
inline bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t done = send(descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

/// Reads up to the next CR LF.
/// @return False at the end of the connection.
inline bool ReadLine(int descriptor, std::string& input, std::string& line) {
  constexpr std::size_t kChunkBytes = 4096;
  std::size_t end = input.find("\r\n");
  while (end == std::string::npos) {
    std::string chunk(kChunkBytes, '\0');
    const ssize_t got = recv(descriptor, chunk.data(), chunk.size(), 0);
    if (got <= 0) {
      return false;
    }
    input.append(chunk, 0, static_cast<std::size_t>(got));
    end = input.find("\r\n");
  }
  line = input.substr(0, end);
  input.erase(0, end + 2);
  return true;
}

/// Accepts connections until it is destroyed.
class listener {
 public:
  /// @param serve Serves one connection, given both its ends: the caller's and
  /// one to the target. The listener closes them.
  listener(std::uint16_t target,
           std::function<void(int caller, int target)> serve)
      : target_(target),
        serve_(std::move(serve)),
        port_(test_support::FreePort()),
        descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = test_support::LoopbackAddress(port_);
    is_bound_ = bind(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) == 0 &&
                listen(descriptor_, SOMAXCONN) == 0;
    accepting_ = std::thread([this] { Accept(); });
  }
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  ~listener() {
    stopped_ = true;
    shutdown(descriptor_, SHUT_RDWR);
    accepting_.join();
    for (const int open : open_) {
      shutdown(open, SHUT_RDWR);
    }
    for (std::thread& each : threads_) {
      each.join();
    }
    for (const int open : open_) {
      close(open);
    }
    close(descriptor_);
  }

  [[nodiscard]] std::uint16_t Port() const { return port_; }
  [[nodiscard]] bool IsBound() const { return is_bound_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int caller = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) {
        return;
      }
      const int target = test_support::ConnectTo(target_);
      const int on = 1;
      setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      open_.insert(caller);
      open_.insert(target);
      threads_.emplace_back([this, caller, target] {
        serve_(caller, target);
        shutdown(caller, SHUT_RDWR);
        shutdown(target, SHUT_RDWR);
      });
    }
  }

  std::uint16_t target_;
  std::function<void(int caller, int target)> serve_;
  std::uint16_t port_;
  int descriptor_;
  bool is_bound_ = false;
  std::atomic<bool> stopped_{false};
  /// Used by the accepting thread, and after its end.
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_SOCKETS_H_
