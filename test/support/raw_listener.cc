#include "test/support/raw_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace test_support {

raw_listener::raw_listener(int receive_buffer) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      listen(listener_, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

raw_listener::~raw_listener() {
  close(listener_);
  if (connection_ >= 0) {
    close(connection_);
  }
}

void raw_listener::Accept() {
  connection_ = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  timeval limit{};
  limit.tv_sec = 2;
  setsockopt(connection_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

std::string raw_listener::Read(std::size_t count) {
  std::string bytes(count, '\0');
  const ssize_t received = recv(connection_, bytes.data(), bytes.size(), 0);
  bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
  return bytes;
}

void raw_listener::Write(const std::string& bytes) {
  static_cast<void>(
      send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

connection_end raw_listener::ReadToEnd() {
  connection_end end;
  std::array<char, 65'536> chunk{};
  while (true) {
    const ssize_t received = recv(connection_, chunk.data(), chunk.size(), 0);
    if (received <= 0) {
      end.failure = received < 0 ? errno : 0;
      return end;
    }
    end.bytes.append(chunk.data(), static_cast<std::size_t>(received));
  }
}

}  // namespace test_support
