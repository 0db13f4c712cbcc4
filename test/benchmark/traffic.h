#ifndef TEST_BENCHMARK_TRAFFIC_H_
#define TEST_BENCHMARK_TRAFFIC_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/support/fleet.h"
#include "test/support/history.h"

/// @file
/// Open-loop load generator for several organisations.

namespace benchmark {

using sassafraswick::time_point;

/// Choice of the proxy for an organisation's statements: a fixed proxy for each
/// worker, one proxy for all workers, or a random proxy for each statement.
enum class proxy_placement : std::uint8_t {
  kProxyPerWorker,
  kOneProxy,
  kRandomProxy
};

/// A statement that was offered to the fleet.
struct offered_statement {
  std::size_t organisation = 0;
  std::size_t proxy = 0;
  /// Scheduled time of sending.
  time_point due;
  /// When it was sent. A host admitted or rejected it between then and `end`.
  time_point sent;
  time_point end;
  bool is_write = false;
  /// A read whose token was returned at least the replication lag ago.
  bool replica_could_serve = false;
  bool done = false;
  /// Rejected by the organisation's rate limit.
  bool over_rate = false;
  /// The host was shutting down and had closed the idle session: not run.
  bool host_shutting_down = false;
  /// Rejected or failed for another reason.
  bool failed = false;
  /// SQLSTATE and message of the failure.
  std::string failure;
};

struct traffic_options {
  std::size_t organisations = 8;
  /// Statements per second of each organisation.
  double rate = 50;
  /// Factor by which the first organisation exceeds `rate`.
  double greedy_multiple = 1;
  std::size_t groups = 1;
  /// Time after which replicas have applied a write.
  std::chrono::milliseconds lag{0};
  std::uint64_t seed = 1;
};

/// Returns the name of an organisation.
[[nodiscard]] std::string OrganisationName(std::size_t index);

/// Threads that send statements on a random schedule that does not depend on
/// the responses. Latency counts from the scheduled time.
class traffic {
 public:
  traffic(test_support::fleet& target, const traffic_options& options);
  ~traffic();

  void Start();
  void Stop();
  [[nodiscard]] std::vector<offered_statement> OfferedStatements();
  [[nodiscard]] test_support::history TakeHistory();

 private:
  struct worker;

  void RunWorker(std::size_t organisation, std::size_t worker_index);
  void RunStatement(worker& state, time_point due);
  [[nodiscard]] test_support::pg_client* FindClient(worker& state,
                                                    std::size_t proxy);
  void RunWrite(worker& state, test_support::pg_client& client,
                offered_statement& statement);
  void RunRead(worker& state, test_support::pg_client& client,
               offered_statement& statement);

  test_support::fleet& target_;
  traffic_options options_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<offered_statement> statements_;
  test_support::history_recorder recorder_;
};

}  // namespace benchmark

#endif  // TEST_BENCHMARK_TRAFFIC_H_
