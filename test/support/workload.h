#ifndef TEST_SUPPORT_WORKLOAD_H_
#define TEST_SUPPORT_WORKLOAD_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/support/fleet.h"
#include "test/support/history.h"

/// @file
/// Clients that write and read through all proxies and record the results.

namespace test_support {

struct workload_options {
  std::size_t clients = 6;
  std::string organisation = "gallery";
  /// Pause of a client between two operations.
  std::chrono::milliseconds think_time{5};
  /// Sends about half of the writes as BEGIN, three statements and COMMIT; the
  /// others, or all if false, go as one batch of statements.
  bool transactions = true;
  std::chrono::milliseconds max_staleness{500};
  /// Sends all reads without a token, so that the primary serves them. Used as
  /// a baseline.
  bool strong_reads_only = false;
};

/// Number of operations of one run, by result.
struct workload_counts {
  std::uint64_t writes_done = 0;
  std::uint64_t writes_not_run = 0;
  std::uint64_t writes_unknown = 0;
  std::uint64_t reads_done = 0;
  std::uint64_t reads_failed = 0;
};

/// Runs each client in its own thread until stopped.
class workload {
 public:
  workload(fleet& target, const workload_options& options, std::uint64_t seed);
  ~workload();

  void Start();
  /// Stops the clients and waits for them.
  void Stop();
  /// Stops the clients, reads the final state and returns the history.
  [[nodiscard]] history Finish();
  [[nodiscard]] workload_counts Counts();

 private:
  struct client_state;

  void RunClient(std::size_t index);
  void Write(client_state& state);
  void Read(client_state& state);
  bool Connect(client_state& state);

  fleet& target_;
  workload_options options_;
  std::uint64_t seed_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  history_recorder recorder_;
  std::mutex counts_mutex_;
  workload_counts counts_;
};

/// Parses the term of a token `sst1.TERM.POSITION.SIGNATURE`.
[[nodiscard]] std::uint64_t ParseTokenTerm(const std::string& token);

/// Creates the tables of the workload, with one row per key.
[[nodiscard]] bool PrepareTables(fleet& target, const std::string& organisation,
                                 std::size_t keys);

}  // namespace test_support

#endif  // TEST_SUPPORT_WORKLOAD_H_
