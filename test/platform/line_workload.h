#ifndef TEST_PLATFORM_LINE_WORKLOAD_H_
#define TEST_PLATFORM_LINE_WORKLOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "test/platform/standin_platform.h"
#include "test/support/history.h"

/// @file
/// Closed-loop callers that write and read through all gateways and record the
/// history. Each caller owns two items and writes 1, 2, 3, ... to both in one
/// transaction; reads use the first of them.

namespace test_platform {

class line_workload {
 public:
  line_workload(const standin_platform& platform, std::size_t gateways,
                std::size_t callers, std::uint64_t seed);
  line_workload(const line_workload&) = delete;
  line_workload& operator=(const line_workload&) = delete;
  ~line_workload() { Stop(); }

  void Start();
  /// Stops the callers and waits until they have ended.
  void Stop();
  /// Returns the recorded history, without the final state of the database.
  [[nodiscard]] test_support::history Take() { return recorder_.Take(); }
  [[nodiscard]] std::uint64_t FailedReads() const { return failed_reads_; }

 private:
  struct caller;

  void Run(std::size_t index);
  void Write(caller& self);
  void Read(caller& self);
  /// Opens a session with a random database at a random gateway.
  bool Connect(caller& self);

  const standin_platform& platform_;
  std::size_t gateways_;
  std::size_t callers_;
  std::uint64_t seed_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> failed_reads_{0};
  std::vector<std::thread> threads_;
  test_support::history_recorder recorder_;
};

/// Name of the first or second item that a caller owns.
[[nodiscard]] std::string ItemName(std::uint64_t caller, bool second);

/// Identifier of a caller's write, unique among all callers.
[[nodiscard]] std::uint64_t RowId(std::uint64_t caller, std::uint64_t value);

/// Adds the final content of the primary's log to the history.
/// @param callers Number of callers of the workload.
void AddFinalState(standin_platform& platform, std::size_t callers,
                   test_support::history& recorded);

/// Waits until a gateway serves a write.
/// @return False after the timeout.
[[nodiscard]] bool WaitUntilServing(const standin_platform& platform,
                                    std::size_t gateway,
                                    std::chrono::milliseconds timeout);

}  // namespace test_platform

#endif  // TEST_PLATFORM_LINE_WORKLOAD_H_
