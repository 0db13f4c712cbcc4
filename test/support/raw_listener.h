#ifndef TEST_SUPPORT_RAW_LISTENER_H_
#define TEST_SUPPORT_RAW_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <string>

/// @file
/// A listening socket that shows how a peer ended its connection.

namespace test_support {

/// What was read from a connection until it ended.
struct connection_end {
  std::string bytes;
  /// `errno` of the last read: `ECONNRESET` after a reset, 0 after an orderly
  /// close, `EAGAIN` if the connection did not end.
  int failure = 0;
};

/// Listens on loopback and reads nothing until it is told to. Holds one
/// connection.
class raw_listener {
 public:
  /// @param receive_buffer Bytes that a connection takes without a read; 0 for
  /// the kernel's default.
  explicit raw_listener(int receive_buffer = 0);
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;
  raw_listener(raw_listener&&) = delete;
  raw_listener& operator=(raw_listener&&) = delete;
  ~raw_listener();

  [[nodiscard]] std::uint16_t Port() const { return port_; }

  /// Accepts the connection that is waiting.
  void Accept();
  /// Reads at most `count` bytes.
  std::string Read(std::size_t count);
  void Write(const std::string& bytes);
  /// Reads until the connection ends, or nothing has arrived for two seconds.
  connection_end ReadToEnd();

 private:
  int listener_ = -1;
  int connection_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace test_support

#endif  // TEST_SUPPORT_RAW_LISTENER_H_
