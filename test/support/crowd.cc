#include "test/support/crowd.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "test/support/process.h"

namespace test_support {
namespace {

/// Time without any movement after which the clients are stuck.
constexpr int kStillMilliseconds = 1500;
constexpr std::size_t kTailBytes = 64;
constexpr int kSocketBufferBytes = 16'384;

}  // namespace

crowd::crowd(std::uint16_t port, const crowd_options& options)
    : options_(options), reads_(options.reads) {
  const sockaddr_in address = LoopbackAddress(port);
  for (std::size_t i = 0; i < options.clients; ++i) {
    client each;
    each.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(each.descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
    if (connect(each.descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
      fcntl(each.descriptor, F_SETFL, O_NONBLOCK);
    } else {
      Close(each);
    }
    clients_.push_back(each);
  }
}

crowd::~crowd() { Leave(); }

void crowd::Add(std::size_t client, const std::string& bytes) {
  clients_.at(client).output += bytes;
}

void crowd::AddToAll(const std::string& bytes) {
  for (client& each : clients_) {
    each.output += bytes;
  }
}

void crowd::Close(client& each) {
  if (each.descriptor >= 0) {
    close(each.descriptor);
    each.descriptor = -1;
  }
}

void crowd::Leave() {
  for (client& each : clients_) {
    Close(each);
  }
}

bool crowd::Receive(client& each) {
  std::array<char, 65'536> chunk{};
  const ssize_t got = recv(each.descriptor, chunk.data(), chunk.size(), 0);
  if (got > 0) {
    each.tail.append(chunk.data(), static_cast<std::size_t>(got));
    if (each.tail.size() > kTailBytes) {
      each.tail.erase(0, each.tail.size() - kTailBytes);
    }
    return true;
  }
  if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
    Close(each);
    return true;
  }
  return false;
}

bool crowd::Send(client& each) const {
  const std::size_t size =
      std::min(options_.piece_bytes, each.output.size() - each.sent);
  const ssize_t done =
      send(each.descriptor, each.output.data() + each.sent, size, MSG_NOSIGNAL);
  if (done > 0) {
    each.sent += static_cast<std::size_t>(done);
    if (each.sent == each.output.size()) {
      each.output = std::string();
      each.sent = 0;
    }
    return true;
  }
  if (errno != EAGAIN && errno != EINTR) {
    Close(each);
    return true;
  }
  return false;
}

bool crowd::Move(int timeout_ms) {
  std::vector<pollfd> waiting;
  std::vector<client*> owners;
  for (client& each : clients_) {
    std::int16_t events = reads_ ? POLLIN : 0;
    if (each.sent < each.output.size()) {
      events |= POLLOUT;
    }
    if (each.descriptor >= 0) {
      waiting.push_back({each.descriptor, events, 0});
      owners.push_back(&each);
    }
  }
  if (waiting.empty() || poll(waiting.data(), waiting.size(), timeout_ms) < 1) {
    return false;
  }
  bool moved = false;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    client& each = *owners[i];
    if ((waiting[i].revents & POLLOUT) != 0) {
      moved |= Send(each);
    }
    if (each.descriptor >= 0 && (waiting[i].revents & POLLIN) != 0) {
      moved |= Receive(each);
    }
    if (each.descriptor >= 0 && (waiting[i].revents & (POLLERR | POLLHUP))) {
      Close(each);
      moved = true;
    }
  }
  return moved;
}

void crowd::Drive() {
  bool pending = true;
  while (pending && Move(kStillMilliseconds)) {
    pending =
        std::any_of(clients_.begin(), clients_.end(), [](const client& each) {
          return each.descriptor >= 0 && each.sent < each.output.size();
        });
  }
}

void crowd::DriveUntilAnswered(const std::string& end) {
  const bool reads = std::exchange(reads_, true);
  bool pending = true;
  while (pending && Move(kStillMilliseconds)) {
    pending = std::any_of(
        clients_.begin(), clients_.end(), [&end](const client& each) {
          return each.descriptor >= 0 && !each.tail.ends_with(end);
        });
  }
  reads_ = reads;
  for (client& each : clients_) {
    each.tail.clear();
  }
}

std::optional<process_usage> UsageOf(pid_t process) {
  const std::string directory = "/proc/" + std::to_string(process);
  process_usage usage;
  std::ifstream status(directory + "/status");
  std::string line;
  while (std::getline(status, line)) {
    std::istringstream fields(line);
    std::string name;
    std::uint64_t value = 0;
    fields >> name >> value;
    if (name == "VmRSS:") {
      usage.resident_kilobytes = value;
    } else if (name == "VmHWM:") {
      usage.peak_resident_kilobytes = value;
    }
  }
  if (usage.resident_kilobytes == 0) {
    return std::nullopt;
  }
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(directory + "/fd")) {
    usage.descriptors += entry.path().empty() ? 0 : 1;
  }
  return usage;
}

std::uint64_t QueuedKilobytes(std::uint16_t port) {
  constexpr std::uint64_t kKilobyte = 1024;
  std::ifstream sockets("/proc/net/tcp");
  std::string line;
  std::getline(sockets, line);
  std::uint64_t bytes = 0;
  while (std::getline(sockets, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const std::size_t colon = local.find(':');
    const std::size_t middle = queues.find(':');
    constexpr const char* kListening = "0A";
    constexpr int kHexadecimal = 16;
    if (middle == std::string::npos || state == kListening ||
        std::stoul(local.substr(colon + 1), nullptr, kHexadecimal) != port) {
      continue;
    }
    bytes += std::stoull(queues.substr(0, middle), nullptr, kHexadecimal);
    bytes += std::stoull(queues.substr(middle + 1), nullptr, kHexadecimal);
  }
  return bytes / kKilobyte;
}

}  // namespace test_support
