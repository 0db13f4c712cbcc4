#ifndef TEST_PLATFORM_STANDIN_PLATFORM_H_
#define TEST_PLATFORM_STANDIN_PLATFORM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "sassafraswick/core/time.h"
#include "test/platform/standin_group.h"
#include "test/platform/standin_store.h"
#include "test/support/process.h"

/// @file
/// Stand-in for the platform on loopback: metadata store, one group of three
/// instances, promotions, and gateways as real processes.

namespace test_platform {

struct listening_socket {
  int descriptor = -1;
  std::uint16_t port = 0;
};

struct standin_options {
  std::size_t gateways = 1;
  /// Puts a fault proxy in front of each instance (`target-I`) and, for each
  /// gateway, in front of the store (`store-G`).
  bool with_faults = false;
  /// Time until a received entry is visible on replicas.
  std::chrono::milliseconds replica_lag{0};
  /// Time from the promotion request to its effect.
  std::chrono::milliseconds promotion_delay{0};
  /// Time after the end of an instance's process for which its entry stays. At
  /// zero, entries change only when the test, a start or a promotion does so.
  std::chrono::milliseconds entry_lifetime{0};
  /// Time from the restart of an instance to its first entry. Needs
  /// `entry_lifetime`.
  std::chrono::milliseconds entry_delay{0};
  /// Rate and burst of the organisations `joinery` (key-three) and `glazier`
  /// (key-four); at zero they are not configured.
  std::int64_t limited_rate = 0;
  /// Program that each gateway runs; those without one run this build's.
  std::vector<std::string> programs;
  /// Connections that each instance is configured to accept.
  std::size_t max_connections = 40;
  /// Rejects connections beyond `max_connections`.
  bool limits_connections = false;
  /// Number of availability zones over which gateways are spread.
  std::size_t zones = 1;
  /// Further lines at the end of each gateway's settings.
  std::string settings_lines;
};

/// How a promotion request is handled.
struct request_handling {
  /// Time by which it takes effect later than `promotion_delay`.
  std::chrono::milliseconds lateness{0};
  bool loses_response = false;
};

/// A promotion request that the platform received.
struct promotion_request {
  std::string id;
  std::string host;
  std::int64_t token = 0;
  sassafraswick::time_point received_at;
  /// The instance was running.
  bool accepted = false;
  /// When the platform was done with it, whether it had an effect or not.
  std::optional<sassafraswick::time_point> done_at;
};

/// Path of the gateway program of this build.
[[nodiscard]] std::string GatewayProgram();

class standin_platform {
 public:
  explicit standin_platform(const standin_options& options);
  explicit standin_platform(std::size_t gateways)
      : standin_platform(standin_options{gateways}) {}
  standin_platform(const standin_platform&) = delete;
  standin_platform& operator=(const standin_platform&) = delete;
  ~standin_platform();

  /// Waits until every gateway reports ready.
  /// @return False after a timeout.
  [[nodiscard]] bool WaitReady();
  /// @return Whether a gateway reports ready.
  [[nodiscard]] bool IsReady(std::size_t gateway) const;

  /// Publishes a configuration.
  /// @param keys Keys of the organisation `gallery`, as elements of a JSON
  /// array.
  /// @param extra_routes Number of routes besides the three standard ones.
  void PublishConfiguration(std::uint64_t version, const std::string& keys,
                            std::size_t extra_routes = 0);

  [[nodiscard]] std::uint64_t ConfiguredVersion() const {
    return configured_version_;
  }

  /// Brings the store back from its copy after a short outage. Operator and
  /// instances write their keys again somewhat later.
  void RestoreStore();

  /// Removes an instance's entry from the store, as if it had expired.
  void ExpireEntry(std::size_t index);
  /// Writes an instance's entry, unless it is stopped.
  void PublishEntry(std::size_t index);

  /// Sets whether responses to promotion requests are lost.
  void LosePromotionResponses(bool lost) { loses_promotion_responses_ = lost; }
  /// Sets how the next promotion requests that are accepted are handled, in
  /// their order. Later ones take effect after `promotion_delay`.
  void HandleNextPromotions(const std::vector<request_handling>& handling);
  /// All promotion requests, in order.
  [[nodiscard]] std::vector<promotion_request> PromotionRequests();
  /// Identifiers of the accepted promotion requests, in order.
  [[nodiscard]] std::vector<std::string> Promotions();

  /// Stops an instance, unless it is stopped: its port refuses connections.
  void Crash(std::size_t index);
  /// Starts an instance at the same port, unless it runs.
  void Restart(std::size_t index,
               instance_start start = instance_start::kSameId);
  /// Publishes whether an instance is about to stop.
  void SetDraining(std::size_t index, bool draining);

  /// Restarts a gateway with the same settings.
  void RestartGateway(std::size_t index);
  /// Sets the program that a gateway runs from its next restart on.
  void SetProgram(std::size_t index, const std::string& program);
  /// Sends a command to the control port of the fault proxy.
  void SendFaultCommand(const std::string& line) const;
  /// Keeps the directory with settings and logs for an investigation.
  void KeepDirectory() { keeps_directory_ = true; }
  [[nodiscard]] const std::string& Directory() const { return directory_; }

  [[nodiscard]] standin_store& Store() { return store_; }
  [[nodiscard]] standin_group& Group() { return group_; }
  [[nodiscard]] test_support::child_process& Gateway(std::size_t index) {
    return gateways_.at(index);
  }
  [[nodiscard]] std::uint16_t CallerPort(std::size_t gateway) const {
    return caller_ports_.at(gateway);
  }
  [[nodiscard]] std::uint16_t ProbePort(std::size_t gateway) const {
    return probe_ports_.at(gateway);
  }
  /// Reads a counter of a gateway's metrics; -1 if it cannot be read.
  [[nodiscard]] std::int64_t Metric(std::size_t gateway,
                                    const std::string& name) const;
  [[nodiscard]] std::string GatewayLog(std::size_t gateway) const;

 private:
  void ServeHttp(int descriptor);
  /// @return Whether an instance has more connections than it accepts.
  [[nodiscard]] bool IsAtCapacity(std::size_t index);
  void ServeLineProtocol(std::size_t index, int descriptor);
  void Accept(const listening_socket& listener, std::size_t index,
              bool line_protocol);
  void WriteSettings(std::size_t index);
  /// Handles a promotion request. It is carried out for the process that runs
  /// now.
  /// @return The response, with status 409 if the instance is not running.
  store_response HandlePromotion(promotion_request request);
  /// Carries out an accepted promotion request after a delay, unless the
  /// platform stops before.
  void PromoteLater(std::size_t request, std::int64_t born,
                    std::chrono::milliseconds delay);
  void PublishEntries();
  /// Publishes changes of the instances' roles, and removes the entries of
  /// processes that have ended, until the platform stops.
  void KeepEntries();
  void StartFaultProxy();
  /// Returns the port at which gateways reach a service: one of the fault proxy
  /// if it is used, otherwise the service's own.
  [[nodiscard]] std::uint16_t MakeProxiedPort(const std::string& name,
                                              std::uint16_t port);
  listening_socket Listen(std::uint16_t port = 0);

  standin_options options_;
  std::string directory_;
  bool keeps_directory_ = false;
  std::atomic<std::uint64_t> configured_version_{0};
  std::string configuration_;
  std::vector<std::string> link_arguments_;
  std::uint16_t control_port_ = 0;
  test_support::child_process fault_proxy_;
  standin_store store_;
  standin_group group_;
  listening_socket http_listener_;
  std::vector<listening_socket> instances_;
  /// Ports at which gateways reach the instances.
  std::vector<std::uint16_t> instance_ports_;
  std::set<std::size_t> draining_;
  /// Orders reads of an instance's state with the writes of its entry.
  std::mutex entries_mutex_;
  /// Role that each running process last published, by identifier.
  std::map<std::string, bool> published_roles_;
  std::atomic<bool> loses_promotion_responses_{false};
  std::vector<promotion_request> promotion_requests_;
  std::deque<request_handling> next_promotions_;
  std::vector<std::uint16_t> caller_ports_;
  std::vector<std::uint16_t> probe_ports_;
  std::vector<test_support::child_process> gateways_;
  std::mutex mutex_;
  std::set<int> open_connections_;
  std::vector<std::set<int>> instance_connections_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
};

/// Blocking client of the line protocol.
class line_client {
 public:
  explicit line_client(std::uint16_t port);
  line_client(const line_client&) = delete;
  line_client& operator=(const line_client&) = delete;
  ~line_client();

  void Send(const std::string& line);
  /// Reads one line; empty if the connection ended or nothing arrived for 10 s.
  [[nodiscard]] std::string ReadLine();
  /// Opens a session.
  /// @return The first line of the response.
  std::string Start(const std::string& database, const std::string& key);
  /// Runs a statement.
  /// @return All lines of the response, joined by `|`.
  std::string Run(const std::string& text);

 private:
  int descriptor_ = -1;
  std::string input_;
  int last_id_ = 0;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_PLATFORM_H_
