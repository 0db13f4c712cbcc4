#ifndef TEST_PLATFORM_STANDIN_PLATFORM_H_
#define TEST_PLATFORM_STANDIN_PLATFORM_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/platform/standin_group.h"
#include "test/platform/standin_store.h"
#include "test/support/process.h"

/// @file
/// A small users' platform on loopback: store, one group of three instances,
/// promotions, and gateways as real processes.

namespace test_platform {

/// What is served, and where.
struct served_port {
  int listener = -1;
  std::uint16_t port = 0;
};

class standin_platform {
 public:
  /// @param gateways Gateways to start.
  explicit standin_platform(std::size_t gateways);
  standin_platform(const standin_platform&) = delete;
  standin_platform& operator=(const standin_platform&) = delete;
  ~standin_platform();

  /// Waits until every gateway says that it is ready.
  [[nodiscard]] bool WaitReady();
  /// Asks a gateway whether it is ready.
  [[nodiscard]] bool IsReady(std::size_t gateway) const;

  /// Publishes a configuration with these keys of organisation `gallery`.
  void Configure(std::uint64_t version, const std::string& keys);

  /// Stops an instance: its port refuses connections.
  void Crash(std::size_t index);

  [[nodiscard]] standin_store& Store() { return store_; }
  [[nodiscard]] standin_group& Group() { return group_; }
  [[nodiscard]] test_support::child_process& Gateway(std::size_t index) {
    return gateways_.at(index);
  }
  [[nodiscard]] std::uint16_t CallerPort(std::size_t gateway) const {
    return callers_.at(gateway);
  }
  [[nodiscard]] std::string GatewayLog(std::size_t gateway) const;

 private:
  void Register(std::size_t index, bool draining);
  void ServeHttp(int descriptor);
  void ServeLines(std::size_t index, int descriptor);
  void Accept(const served_port& served, std::size_t index, bool lines);
  void StartGateway(std::size_t index);
  served_port Listen();

  std::string directory_;
  standin_store store_;
  standin_group group_;
  served_port http_;
  std::vector<served_port> instances_;
  std::vector<std::uint16_t> callers_;
  std::vector<std::uint16_t> probes_;
  std::vector<test_support::child_process> gateways_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::set<int>> open_lines_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
};

/// A caller that speaks lines.
class line_client {
 public:
  explicit line_client(std::uint16_t port);
  line_client(const line_client&) = delete;
  line_client& operator=(const line_client&) = delete;
  ~line_client();

  void Send(const std::string& line);
  /// Reads one line; empty if the connection ended or nothing came in 10 s.
  [[nodiscard]] std::string ReadLine();
  /// Opens a session.
  /// @return The first line of the answer.
  std::string Start(const std::string& database, const std::string& key);
  /// Runs a statement.
  /// @return All lines of the answer, joined by `|`.
  std::string Run(const std::string& text);

 private:
  int descriptor_ = -1;
  std::string input_;
  int last_id_ = 0;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_PLATFORM_H_
