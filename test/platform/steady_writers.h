#ifndef TEST_PLATFORM_STEADY_WRITERS_H_
#define TEST_PLATFORM_STEADY_WRITERS_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sassafraswick/core/time.h"
#include "test/platform/standin_platform.h"

/// @file
/// Callers that write one item after another, each through a gateway of its
/// own, and keep their connections until these end.

namespace test_platform {

class steady_writers {
 public:
  /// Starts one caller for each gateway.
  steady_writers(const standin_platform& platform, std::size_t gateways);
  steady_writers(const steady_writers&) = delete;
  steady_writers& operator=(const steady_writers&) = delete;
  ~steady_writers() { Stop(); }

  /// Stops the callers and waits until they have ended.
  void Stop();

  /// Number of acknowledged writes.
  [[nodiscard]] std::size_t Acknowledged();
  /// Returns when the first write that was sent after a time was acknowledged.
  [[nodiscard]] std::optional<sassafraswick::time_point> ServedSince(
      sassafraswick::time_point begin);
  /// Returns the items of acknowledged writes that an instance's log lacks.
  [[nodiscard]] std::vector<std::string> MissingAt(standin_platform& platform,
                                                   std::size_t index);

 private:
  struct acknowledged_write {
    sassafraswick::time_point sent_at;
    sassafraswick::time_point acknowledged_at;
  };

  void Run(std::size_t gateway);

  const standin_platform& platform_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, acknowledged_write> acknowledged_;
  std::vector<std::thread> threads_;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STEADY_WRITERS_H_
