#ifndef TEST_SUPPORT_PROCESS_H_
#define TEST_SUPPORT_PROCESS_H_

#include <netinet/in.h>
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Child processes under test, and helpers to talk to them on loopback.

namespace test_support {

/// A child process, killed on destruction.
class child_process {
 public:
  child_process() = default;
  /// @param arguments Path of the program and its arguments.
  /// @param log_path File to which its output is appended.
  child_process(const std::vector<std::string>& arguments,
                const std::string& log_path);
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  ~child_process();

  void Signal(int number) const;
  void Kill();
  /// Waits for the process to exit.
  /// @return Exit code, or -1 if a signal ended it or the timeout passed.
  int Wait(std::chrono::milliseconds timeout);
  [[nodiscard]] pid_t ProcessId() const noexcept { return id_; }
  /// Resident memory in kilobytes.
  [[nodiscard]] std::uint64_t ResidentKilobytes() const;
  /// Processor time used so far.
  [[nodiscard]] std::chrono::milliseconds ProcessorTime() const;

 private:
  pid_t id_ = 0;
};

/// Path of a program of this build.
[[nodiscard]] std::string BuildPath(const std::string& program);

/// Runs a shell command.
/// @param exit_code Set to its exit code.
/// @return What it wrote to standard output and standard error.
[[nodiscard]] std::string RunCommand(const std::string& command,
                                     int& exit_code);

/// Socket address of a loopback port.
[[nodiscard]] sockaddr_in LoopbackAddress(std::uint16_t port);

/// Connects to a loopback port.
/// @return The socket, or -1.
[[nodiscard]] int ConnectTo(std::uint16_t port);

/// Returns a loopback port that is not in use.
[[nodiscard]] std::uint16_t FreePort();

/// Waits until something listens on a loopback port.
/// @return False after the timeout.
[[nodiscard]] bool WaitForPort(std::uint16_t port,
                               std::chrono::milliseconds timeout);

/// Waits until a condition holds.
/// @return False after the timeout.
template <typename Condition>
[[nodiscard]] bool WaitFor(std::chrono::milliseconds timeout,
                           Condition condition);

/// Sends one command line to a fault proxy and waits for its reply.
void SendFault(std::uint16_t control_port, const std::string& line);

/// Sends a JSON body to the simulated platform.
/// @return Body of the response, or empty.
[[nodiscard]] std::string PostJson(std::uint16_t port, const std::string& path,
                                   const std::string& body);

void Pause(std::chrono::milliseconds span);

template <typename Condition>
bool WaitFor(std::chrono::milliseconds timeout, Condition condition) {
  const sassafraswick::time_point deadline =
      sassafraswick::monotonic_clock::now() + timeout;
  while (!condition()) {
    if (sassafraswick::monotonic_clock::now() > deadline) {
      return false;
    }
    Pause(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace test_support

#endif  // TEST_SUPPORT_PROCESS_H_
