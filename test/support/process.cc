#include "test/support/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace test_support {
namespace {

/// Each test process reserves one block of ports. The blocks lie below the
/// ephemeral range, from which outgoing connections take their ports.
constexpr int kFirstPort = 10'000;
constexpr int kPortBlocks = 200;
constexpr int kPortBlockSize = 100;

/// Binds as the programs under test do: a port counts as taken while a socket
/// listens on it, but not because of earlier connections in TIME_WAIT.
/// @return A socket bound to a loopback port, or -1 if it is taken.
int BindPort(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(static_cast<std::uint16_t>(port));
  const int bound = bind(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (bound != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

/// Reserves a block of ports until this process ends, by listening on its first
/// port. Otherwise another test process could take a port after it was chosen
/// here and before it is used.
int ReservePortBlock() {
  for (int i = getpid();; ++i) {
    const int first = kFirstPort + (i % kPortBlocks) * kPortBlockSize;
    const int descriptor = BindPort(first);
    if (descriptor >= 0 && listen(descriptor, 1) == 0) {
      return first;
    }
    close(descriptor);
  }
}

}  // namespace

std::string BuildPath(const std::string& program) {
  const char* const directory = std::getenv("SASSAFRASWICK_BUILD");
  return std::string(directory == nullptr ? "build" : directory) + "/" +
         program;
}

std::string RunCommand(const std::string& command, int& exit_code) {
  FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
  std::string output;
  std::array<char, 4096> buffer{};
  std::size_t size = fread(buffer.data(), 1, buffer.size(), pipe);
  while (size > 0) {
    output.append(buffer.data(), size);
    size = fread(buffer.data(), 1, buffer.size(), pipe);
  }
  exit_code = WEXITSTATUS(pclose(pipe));
  return output;
}

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ConnectTo(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
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

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, 0)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    Kill();
    id_ = std::exchange(other.id_, 0);
  }
  return *this;
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

int child_process::Wait(std::chrono::milliseconds timeout) {
  int status = 0;
  const bool ended = WaitFor(timeout, [this, &status] {
    return waitpid(id_, &status, WNOHANG) == id_;
  });
  if (!ended) {
    return -1;
  }
  id_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::uint64_t child_process::ResidentKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(id_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stoull(line.substr(sizeof("VmRSS:") - 1));
    }
  }
  return 0;
}

std::chrono::milliseconds child_process::ProcessorTime() const {
  constexpr int kUserTimeField = 14;
  std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
  std::string word;
  std::int64_t ticks = 0;
  for (int field = 1; stat >> word; ++field) {
    if (field == kUserTimeField || field == kUserTimeField + 1) {
      ticks += std::stoll(word);
    }
  }
  return std::chrono::milliseconds(1000 * ticks / sysconf(_SC_CLK_TCK));
}

std::uint16_t FreePort() {
  static const int first = ReservePortBlock();
  static int next = 0;
  for (int attempt = 0; attempt < kPortBlockSize; ++attempt) {
    const int port = first + 1 + next++ % (kPortBlockSize - 1);
    const int descriptor = BindPort(port);
    if (descriptor >= 0) {
      close(descriptor);
      return static_cast<std::uint16_t>(port);
    }
  }
  throw std::runtime_error("no port of this process's block is free");
}

bool WaitForPort(std::uint16_t port, std::chrono::milliseconds timeout) {
  return WaitFor(timeout, [port] {
    const int descriptor = ConnectTo(port);
    if (descriptor >= 0) {
      close(descriptor);
    }
    return descriptor >= 0;
  });
}

void SendFault(std::uint16_t control_port, const std::string& line) {
  const int descriptor = ConnectTo(control_port);
  if (descriptor < 0) {
    return;
  }
  const std::string text = line + "\n";
  if (write(descriptor, text.data(), text.size()) > 0) {
    std::array<char, 16> reply{};
    static_cast<void>(read(descriptor, reply.data(), reply.size()));
  }
  close(descriptor);
}

std::string PostJson(std::uint16_t port, const std::string& path,
                     const std::string& body) {
  const int descriptor = ConnectTo(port);
  if (descriptor < 0) {
    return "";
  }
  const std::string request = "POST " + path +
                              " HTTP/1.1\r\nHost: platform\r\nConnection: "
                              "close\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string response;
  if (write(descriptor, request.data(), request.size()) > 0) {
    std::array<char, 4096> buffer{};
    ssize_t size = read(descriptor, buffer.data(), buffer.size());
    while (size > 0) {
      response.append(buffer.data(), static_cast<std::size_t>(size));
      size = read(descriptor, buffer.data(), buffer.size());
    }
  }
  close(descriptor);
  const std::size_t end = response.find("\r\n\r\n");
  return end == std::string::npos ? "" : response.substr(end + 4);
}

void Pause(std::chrono::milliseconds span) {
  std::this_thread::sleep_for(span);
}

}  // namespace test_support
