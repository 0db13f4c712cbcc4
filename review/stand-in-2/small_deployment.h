#ifndef REVIEW_STAND_IN_2_SMALL_DEPLOYMENT_H_
#define REVIEW_STAND_IN_2_SMALL_DEPLOYMENT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/platform/standin_group.h"
#include "test/platform/standin_store.h"
#include "test/support/process.h"

/// @file
/// A small deployment on loopback for the cases of the review: the platform's
/// store, one group of three instances, and gateways as separate processes.

namespace review {

using std::chrono::milliseconds;

/// Log of a case: what was sent, answered and run, with the time since its
/// start in milliseconds. Thread-safe.
class case_record {
 public:
  explicit case_record(const std::string& path);
  void Add(const std::string& text);
  [[nodiscard]] milliseconds Now() const;

 private:
  std::chrono::steady_clock::time_point started_at_;
  std::mutex mutex_;
  std::ofstream file_;
};

/// An organisation and its keys.
struct organisation {
  std::string name;
  std::vector<std::string> keys;
};

/// An order to promote an instance, as the platform received it.
struct promotion_order {
  std::string holder;
  std::uint64_t token = 0;
  std::string instance;
  milliseconds arrived_at{0};
};

class small_deployment {
 public:
  /// @param directory Directory for settings and the gateways' output.
  small_deployment(case_record& record, std::string directory,
                   std::size_t gateways);
  small_deployment(const small_deployment&) = delete;
  small_deployment& operator=(const small_deployment&) = delete;
  ~small_deployment();

  /// Starts the gateways and waits until all are ready.
  /// @return False after a timeout.
  [[nodiscard]] bool Start();
  void StartGateway(std::size_t gateway);
  [[nodiscard]] bool WaitReady(std::size_t gateway) const;

  /// Writes a configuration as the operator does.
  /// @return When the store acknowledged it.
  milliseconds Configure(std::uint64_t version,
                         const std::vector<organisation>& organisations);
  /// Writes an instance's entry.
  /// @return When the store acknowledged it.
  milliseconds Register(std::size_t instance, bool draining);
  /// Sets the time that a read takes at each instance.
  void SetReadTime(milliseconds time);
  /// Loses the next answer to the watch of each gateway; the connections return
  /// nothing further.
  void LoseNextWatchAnswers();
  /// Number of answers that were lost.
  [[nodiscard]] std::size_t LostAnswers();

  /// Cuts a gateway off from the platform, in both directions: what is sent is
  /// held up until `Heal`, and lost if its sender resets the connection.
  void Cut(std::size_t gateway) { cut_ = gateway; }
  void Heal() { cut_ = kNone; }
  /// Ends an instance: its port refuses connections.
  void Crash(std::size_t instance);
  /// The gateway that holds the failover lease; `kNone` if there is none.
  [[nodiscard]] std::size_t FailoverHolder();
  /// When the store last received a renewal of the failover lease.
  [[nodiscard]] milliseconds LastRenewal();
  /// Number of connections for orders that a gateway has opened.
  [[nodiscard]] std::size_t OrderConnections(std::size_t gateway);
  /// When an order arrived at the cut; negative if none did.
  [[nodiscard]] milliseconds HeldSince();
  [[nodiscard]] std::vector<promotion_order> Orders();

  static constexpr std::size_t kNone = SIZE_MAX;

  [[nodiscard]] std::uint16_t CallerPort(std::size_t gateway) const {
    return gateways_.at(gateway).caller_port;
  }
  [[nodiscard]] test_support::child_process& Process(std::size_t gateway) {
    return gateways_.at(gateway).process;
  }

 private:
  struct gateway_process {
    std::uint16_t caller_port = 0;
    std::uint16_t probe_port = 0;
    std::uint16_t store_port = 0;
    std::uint16_t promotion_port = 0;
    std::string settings_path;
    std::string log_path;
    test_support::child_process process;
  };

  /// Accepts connections and serves each in a thread of its own.
  /// @return The port.
  std::uint16_t Listen(std::function<void(int descriptor)> serve);
  /// Waits while a gateway is cut off.
  /// @return False if the connection was reset meanwhile.
  [[nodiscard]] bool AwaitHeal(std::size_t gateway, int descriptor) const;
  void ServeStore(std::size_t gateway, int descriptor);
  /// @return Whether the answer to a watch of the gateway is lost.
  [[nodiscard]] bool TakeLoss(std::size_t gateway);
  void ServeInstance(std::size_t instance, int descriptor);
  void RecordArrival(std::size_t instance, const std::string& text);
  void ServePromotions(std::size_t gateway, int descriptor);
  /// Notes the claim and the renewals of the failover lease, from calls that
  /// succeeded.
  void ObserveStoreCall(const std::string& target, const std::string& body);
  void Promote(const std::string& id);
  void WriteSettings(std::size_t gateway);
  void KeepThread(std::thread thread);

  case_record& record_;
  std::string directory_;
  test_platform::standin_store store_;
  test_platform::standin_group group_;
  std::vector<std::uint16_t> instance_ports_;
  std::map<std::size_t, bool> draining_;
  std::vector<gateway_process> gateways_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::size_t> cut_{kNone};
  std::mutex mutex_;
  /// Statements of callers that instances have received.
  std::size_t arrivals_ = 0;
  /// Gateways whose next answer to a watch is lost.
  std::set<std::size_t> loses_;
  std::size_t lost_answers_ = 0;
  std::vector<int> descriptors_;
  /// Listening socket of each port.
  std::map<std::uint16_t, int> listeners_;
  std::map<std::size_t, std::set<int>> instance_connections_;
  std::map<std::size_t, std::size_t> order_connections_;
  std::vector<promotion_order> orders_;
  milliseconds held_since_{-1};
  std::string failover_lease_;
  milliseconds renewed_at_{-1};
  std::vector<std::thread> threads_;
};

/// A caller that waits for each answer.
class caller {
 public:
  /// @param name Prefix of the identifiers of its statements.
  caller(case_record& record, std::uint16_t port, std::string name);
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  ~caller();

  /// Opens a session.
  /// @return The answer, empty if the connection ended.
  std::string Start(const std::string& database, const std::string& key,
                    bool is_recorded = true);
  /// Runs a statement.
  /// @param is_recorded Writes it and its answer into the record.
  /// @return All lines of the answer joined by `|`, empty if the connection
  /// ended.
  std::string Run(const std::string& text, bool is_recorded = true);
  /// Identifier of the last statement.
  [[nodiscard]] const std::string& LastId() const { return last_id_; }
  [[nodiscard]] bool IsOpen() const { return descriptor_ >= 0; }

 private:
  bool Send(const std::string& line);
  std::string ReadLine();

  case_record& record_;
  std::string name_;
  int descriptor_ = -1;
  std::string input_;
  std::string last_id_;
  int statements_ = 0;
};

/// Returns whether an answer reports success.
[[nodiscard]] bool IsSuccess(const std::string& answer);

/// Returns whether the case runs with its disruption: `TROUBLE` isn't 0.
[[nodiscard]] bool HasTrouble();

/// Results of a case, as exit codes.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Runs a case with the arguments of its program: the path of the record and a
/// directory for temporary files.
[[nodiscard]] int RunCase(
    int argc, char** argv,
    const std::function<int(case_record& record, const std::string& directory)>&
        run);

}  // namespace review

#endif  // REVIEW_STAND_IN_2_SMALL_DEPLOYMENT_H_
