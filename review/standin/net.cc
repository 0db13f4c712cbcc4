#include "review/standin/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <utility>

namespace review {
namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @param port Zero for any free port; set to the port that was bound.
int Listen(std::uint16_t& port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, SOMAXCONN) != 0) {
    close(descriptor);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

void SetNoDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

recorder::recorder(const std::string& path) : file_(path) {}

std::int64_t recorder::Now() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - started_at_)
      .count();
}

void recorder::Write(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::array<char, 24> stamp{};
  std::snprintf(stamp.data(), stamp.size(), "%7lld ",
                static_cast<long long>(Now()));  // NOLINT(google-runtime-int)
  file_ << stamp.data() << text << std::endl;
}

tcp_server::tcp_server(handler serve) : serve_(std::move(serve)) { Start(); }

tcp_server::~tcp_server() {
  Stop();
  for (std::thread& each : threads_) {
    each.join();
  }
}

void tcp_server::Start() {
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = Listen(port_);
  if (listener_ >= 0) {
    threads_.emplace_back([this, listener = listener_] { Accept(listener); });
  }
}

void tcp_server::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
  }
  for (const int descriptor : open_) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void tcp_server::OnNextConnection(std::function<void()> callback) {
  const std::lock_guard<std::mutex> lock(mutex_);
  on_connection_ = std::move(callback);
}

void tcp_server::Accept(int listener) {
  while (true) {
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      close(listener);
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::function<void()> callback =
        std::exchange(on_connection_, nullptr);
    if (callback) {
      callback();
    }
    SetNoDelay(descriptor);
    if (listener_ != listener) {
      close(descriptor);
      continue;
    }
    open_.insert(descriptor);
    threads_.emplace_back([this, descriptor] {
      serve_(descriptor);
      const std::lock_guard<std::mutex> done(mutex_);
      open_.erase(descriptor);
      close(descriptor);
    });
  }
}

bool line_reader::Fill() {
  std::array<char, 4096> chunk{};
  const ssize_t got = recv(descriptor_, chunk.data(), chunk.size(), 0);
  if (got <= 0) {
    return false;
  }
  input_.append(chunk.data(), static_cast<std::size_t>(got));
  return true;
}

bool line_reader::ReadLine(std::string& line) {
  std::size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = input_.find("\r\n");
  }
  line = input_.substr(0, end);
  input_.erase(0, end + 2);
  return true;
}

bool line_reader::ReadBytes(std::size_t count, std::string& bytes) {
  while (input_.size() < count) {
    if (!Fill()) {
      return false;
    }
  }
  bytes = input_.substr(0, count);
  input_.erase(0, count);
  return true;
}

bool SendAll(int descriptor, const std::string& bytes) {
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

int ConnectTo(std::uint16_t port, milliseconds receive_timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  SetNoDelay(descriptor);
  const timeval timeout{receive_timeout.count() / 1000,
                        receive_timeout.count() % 1000 * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  return descriptor;
}

std::uint16_t FreePort() {
  // Ports below the ephemeral range, so that no outgoing connection takes one
  // before the process under test listens on it.
  static std::atomic<int> next{10'000 + getpid() % 20'000};
  while (true) {
    std::uint16_t port =
        static_cast<std::uint16_t>(10'000 + (next++ - 10'000) % 20'000);
    const int descriptor = Listen(port);
    if (descriptor >= 0) {
      close(descriptor);
      return port;
    }
  }
}

void Pause(milliseconds span) { std::this_thread::sleep_for(span); }

line_client::line_client(std::uint16_t port, milliseconds timeout)
    : descriptor_(ConnectTo(port, timeout)), reader_(descriptor_) {}

line_client::~line_client() {
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

std::string line_client::Start(const std::string& database,
                               const std::string& key) {
  std::string line;
  if (descriptor_ < 0 ||
      !SendAll(descriptor_, "START " + database + " " + key + "\r\n") ||
      !reader_.ReadLine(line)) {
    return {};
  }
  return line;
}

std::string line_client::Run(const std::string& id, const std::string& text) {
  std::string response;
  if (descriptor_ < 0 ||
      !SendAll(descriptor_, "QUERY " + id + " " + text + "\r\n")) {
    return "(closed)";
  }
  std::string line;
  while (reader_.ReadLine(line)) {
    response += (response.empty() ? "" : "|") + line;
    if (line.starts_with("READY")) {
      return response;
    }
  }
  return response + "(closed)";
}

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int log =
      open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  id_ = fork();
  if (id_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(log);
}

child_process::~child_process() { Kill(); }

void child_process::Signal(int number) const {
  if (id_ > 0) {
    kill(id_, number);
  }
}

void child_process::Kill() {
  if (id_ > 0) {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = 0;
  }
}

bool child_process::WaitForEnd(milliseconds timeout) {
  const steady::time_point deadline = steady::now() + timeout;
  while (id_ > 0 && steady::now() < deadline) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      id_ = 0;
      break;
    }
    Pause(milliseconds(5));
  }
  return id_ == 0;
}

}  // namespace review
