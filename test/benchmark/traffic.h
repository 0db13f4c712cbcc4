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
/// Open-loop traffic of several organisations.

namespace benchmark {

using sassafraswick::time_point;

/// How an organisation's statements are spread over proxies.
enum class proxy_placement : std::uint8_t {
  kProxyPerWorker,
  kOneProxy,
  kRandomProxy
};

/// One statement that was offered.
struct offered_statement {
  std::size_t organisation = 0;
  std::size_t proxy = 0;
  time_point due;
  /// When it was sent; it was admitted between then and `end`.
  time_point sent;
  time_point end;
  bool is_write = false;
  /// A read whose token is older than the replicas' lag.
  bool replica_could_serve = false;
  bool done = false;
  /// Refused by the organisation's rate.
  bool over_rate = false;
  /// The host closed the idle session before the statement: it was not run.
  bool host_shutting_down = false;
  /// Refused or failed for another reason.
  bool failed = false;
  /// SQLSTATE and text of the failure.
  std::string failure;
};

struct traffic_options {
  std::size_t organisations = 8;
  /// Statements a second of each organisation.
  double rate = 50;
  /// The first organisation offers this many times as much.
  double greedy_multiple = 1;
  std::size_t groups = 1;
  /// Time after which replicas show a write.
  std::chrono::milliseconds lag{0};
  std::uint64_t seed = 1;
};

/// Name of an organisation.
[[nodiscard]] std::string OrganisationName(std::size_t index);

/// Threads that offer statements at given times, whatever becomes of them.
class traffic {
 public:
  traffic(test_support::fleet& target, const traffic_options& options);
  ~traffic();

  void Start();
  void Stop();
  [[nodiscard]] std::vector<offered_statement> TakeStatements();
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
