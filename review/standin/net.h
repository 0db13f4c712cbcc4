#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// @file
/// Loopback sockets, the record of a case, and child processes.

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run, one line each, with the time in
/// milliseconds since the start of the case. Thread-safe.
class recorder {
 public:
  explicit recorder(const std::string& path);
  void Write(const std::string& text);
  /// Milliseconds since the start of the case.
  [[nodiscard]] std::int64_t Now() const;

 private:
  steady::time_point started_at_ = steady::now();
  std::mutex mutex_;
  std::ofstream file_;
};

/// Accepts connections on a loopback port, and serves each in a thread.
class tcp_server {
 public:
  /// Serves one connection; the server closes it afterwards.
  using handler = std::function<void(int descriptor)>;

  explicit tcp_server(handler serve);
  tcp_server(const tcp_server&) = delete;
  tcp_server& operator=(const tcp_server&) = delete;
  ~tcp_server();

  [[nodiscard]] std::uint16_t Port() const { return port_; }
  /// Refuses connections and closes the open ones, as an ended process does.
  void Stop();
  /// Listens again on the same port.
  void Start();
  /// Called once, as soon as the next connection is accepted.
  void OnNextConnection(std::function<void()> callback);

 private:
  void Accept(int listener);

  handler serve_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> open_;
  std::function<void()> on_connection_;
  std::vector<std::thread> threads_;
};

/// Splits a stream into lines that end with CR LF.
class line_reader {
 public:
  explicit line_reader(int descriptor) : descriptor_(descriptor) {}
  /// @return False at the end of the stream.
  bool ReadLine(std::string& line);
  /// Reads a number of bytes.
  bool ReadBytes(std::size_t count, std::string& bytes);

 private:
  bool Fill();

  int descriptor_;
  std::string input_;
};

bool SendAll(int descriptor, const std::string& bytes);

/// Connects to a loopback port.
/// @return The socket, or -1.
int ConnectTo(std::uint16_t port, milliseconds receive_timeout);

/// Returns a loopback port that nothing listens on.
std::uint16_t FreePort();

void Pause(milliseconds span);

/// A client's session.
class line_client {
 public:
  explicit line_client(std::uint16_t port,
                       milliseconds timeout = milliseconds(10'000));
  line_client(const line_client&) = delete;
  line_client& operator=(const line_client&) = delete;
  ~line_client();

  [[nodiscard]] bool IsConnected() const { return descriptor_ >= 0; }
  /// Opens the session.
  /// @return The first line of the response; empty if the connection ended.
  std::string Start(const std::string& database, const std::string& key);
  /// Runs a statement.
  /// @return All lines of the response, joined by `|`. If the connection ended
  /// before `READY`, the lines up to then, followed by `(closed)`.
  std::string Run(const std::string& id, const std::string& text);

 private:
  int descriptor_;
  line_reader reader_;
};

/// A child process, killed on destruction.
class child_process {
 public:
  child_process(const std::vector<std::string>& arguments,
                const std::string& log_path);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  void Signal(int number) const;
  void Kill();
  /// @return Whether the process ended within the timeout.
  bool WaitForEnd(milliseconds timeout);

 private:
  int id_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_NET_H_
