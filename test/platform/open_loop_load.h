#ifndef TEST_PLATFORM_OPEN_LOOP_LOAD_H_
#define TEST_PLATFORM_OPEN_LOOP_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sassafraswick/core/time.h"
#include "test/platform/standin_platform.h"

/// @file
/// Open-loop load: operations start at a constant rate, each in a session of
/// its own, whether or not earlier ones have completed. Callers that wait for
/// responses would stop sending just while nothing is served.

namespace test_platform {

/// Operations of one kind.
struct load_stream {
  std::string database;
  std::string key = "key-one";
  bool writes = false;
  /// Time between the starts of two operations.
  std::chrono::microseconds interval{25'000};
  /// Gateway that receives all operations; if empty, gateways take turns.
  std::optional<std::size_t> gateway;
};

/// Result of one operation.
struct load_record {
  std::size_t stream = 0;
  bool served = false;
  sassafraswick::time_point start;
  sassafraswick::time_point end;
};

class open_loop_load {
 public:
  /// @param gateways Number of gateways that take turns.
  open_loop_load(const standin_platform& platform, std::size_t gateways,
                 std::vector<load_stream> streams);
  open_loop_load(const open_loop_load&) = delete;
  open_loop_load& operator=(const open_loop_load&) = delete;
  ~open_loop_load() { Stop(); }

  void Start();
  /// Starts no more operations and waits for those in progress.
  void Stop();
  /// Operations that have ended, in the order in which they ended.
  [[nodiscard]] std::vector<load_record> Records();

 private:
  void RunStream(std::size_t stream);
  void RunOperation(std::size_t stream, std::size_t number);

  const standin_platform& platform_;
  std::size_t gateways_;
  std::vector<load_stream> streams_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> stream_threads_;
  std::mutex mutex_;
  std::vector<load_record> records_;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_OPEN_LOOP_LOAD_H_
