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
/// Operations that begin at a steady pace whatever becomes of the earlier ones,
/// each in a session of its own. Callers that wait for answers would stop
/// asking exactly while nothing is served.

namespace test_platform {

/// One stream of operations.
struct load_stream {
  std::string database;
  std::string key = "key-one";
  bool writes = false;
  /// Time between two operations.
  std::chrono::microseconds interval{25'000};
  /// Gateway that takes all of them; otherwise all take turns.
  std::optional<std::size_t> gateway;
};

/// One operation that was tried.
struct load_record {
  std::size_t stream = 0;
  bool served = false;
  sassafraswick::time_point start;
  sassafraswick::time_point end;
};

class open_loop_load {
 public:
  /// @param gateways Gateways that take the operations in turn.
  open_loop_load(const standin_platform& platform, std::size_t gateways,
                 std::vector<load_stream> streams);
  open_loop_load(const open_loop_load&) = delete;
  open_loop_load& operator=(const open_loop_load&) = delete;
  ~open_loop_load() { Stop(); }

  void Start();
  /// Begins no more operations and waits for those under way.
  void Stop();
  /// Operations that have ended, in the order of their ends.
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
