#ifndef TEST_SUPPORT_CROWD_H_
#define TEST_SUPPORT_CROWD_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Many connections of clients that do not behave, driven by one thread, and
/// what a process holds for them.

namespace test_support {

struct crowd_options {
  std::size_t clients = 1;
  /// Largest number of bytes that a client sends at once.
  std::size_t piece_bytes = std::size_t{1} << 20;
  /// Whether the clients read responses.
  bool reads = true;
};

/// Connections to one port. Refused and closed connections are no failure.
class crowd {
 public:
  crowd(std::uint16_t port, const crowd_options& options);
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;
  ~crowd();

  /// Appends to what a client sends.
  void Add(std::size_t client, const std::string& bytes);
  void AddToAll(const std::string& bytes);
  /// Sends, and reads if the clients read, until all is sent or nothing moves
  /// any more.
  void Drive();
  /// Waits until each open client has received a response that ends with
  /// `end`, or nothing moves any more.
  void DriveUntilAnswered(const std::string& end);
  /// Closes the connections.
  void Leave();

  [[nodiscard]] std::size_t Size() const { return clients_.size(); }

 private:
  struct client {
    int descriptor = -1;
    std::string output;
    std::size_t sent = 0;
    /// The last bytes received.
    std::string tail;
  };

  /// Moves bytes of all clients once.
  /// @return Whether any byte moved or a connection ended.
  bool Move(int timeout_ms);
  bool Receive(client& each);
  bool Send(client& each) const;
  static void Close(client& each);

  crowd_options options_;
  bool reads_;
  std::vector<client> clients_;
};

/// Memory and descriptors of a process, from `/proc`.
struct process_usage {
  std::uint64_t resident_kilobytes = 0;
  std::uint64_t peak_resident_kilobytes = 0;
  std::size_t descriptors = 0;
};

/// @return Nothing if the process has ended.
[[nodiscard]] std::optional<process_usage> UsageOf(pid_t process);

/// Kilobytes in the kernel's queues of the sockets at a local port.
[[nodiscard]] std::uint64_t QueuedKilobytes(std::uint16_t port);

}  // namespace test_support

#endif  // TEST_SUPPORT_CROWD_H_
