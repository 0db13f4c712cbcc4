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
/// Clients that write and read through all proxies and record what they see.

namespace test_support {

struct workload_options {
  std::size_t clients = 6;
  std::string organisation = "gallery";
  /// Rest between two operations of a client.
  std::chrono::milliseconds think_time{5};
  /// Writes go as BEGIN, three statements, COMMIT instead of one batch.
  bool transactions = true;
  std::chrono::milliseconds max_staleness{500};
  /// Reads always go without token, to the primary: the baseline.
  bool strong_reads_only = false;
};

/// Counts of one run.
struct workload_counts {
  std::uint64_t writes_done = 0;
  std::uint64_t writes_not_run = 0;
  std::uint64_t writes_unknown = 0;
  std::uint64_t reads_done = 0;
  std::uint64_t reads_failed = 0;
};

/// Runs clients in threads until stopped.
class workload {
 public:
  workload(fleet& target, const workload_options& options, std::uint64_t seed);
  ~workload();

  void Start();
  /// Stops the clients and waits for them.
  void Stop();
  /// Reads the final state and returns everything recorded.
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

/// Reads the term out of a token `sst1.TERM.POSITION.SIGNATURE`.
[[nodiscard]] std::uint64_t ParseTokenTerm(const std::string& token);

/// Creates the tables that the workload uses.
[[nodiscard]] bool PrepareTables(fleet& target, const std::string& organisation,
                                 std::size_t keys);

}  // namespace test_support

#endif  // TEST_SUPPORT_WORKLOAD_H_
