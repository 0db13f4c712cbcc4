#ifndef TEST_SUPPORT_HISTORY_H_
#define TEST_SUPPORT_HISTORY_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// What clients did and saw, and a checker of the promises on data.
///
/// Each key has one writer, which sets it to 1, 2, 3, ... Each such write also
/// inserts one row with a number of its own, twice in one transaction for
/// transaction writes. So every stale, lost, doubled or mixed outcome shows.

namespace test_support {

using sassafraswick::time_point;

enum class outcome : std::uint8_t {
  kAcknowledged,
  /// The answer said that it did not run.
  kNotRun,
  /// Unknown, or the connection was lost.
  kUnknown,
};

/// Sets one key to `value` and inserts row `row_id`.
struct write_record {
  std::uint64_t key = 0;
  std::uint64_t value = 0;
  std::uint64_t row_id = 0;
  outcome result = outcome::kUnknown;
  /// Term in the token that came with the answer.
  std::uint64_t term = 0;
  time_point start;
  time_point end;
  /// Database group; each has terms of its own.
  std::size_t group = 0;
};

enum class read_kind : std::uint8_t {
  /// Without token: everything acknowledged before must show.
  kStrong,
  /// With the token of an earlier write of the same key.
  kToken,
  /// With a stated age.
  kStale,
};

/// Saw one key at `value`; zero if the key was not there.
struct read_record {
  std::uint64_t key = 0;
  std::uint64_t value = 0;
  read_kind kind = read_kind::kStrong;
  /// For token reads, the value whose write returned the token.
  std::uint64_t token_value = 0;
  std::chrono::milliseconds max_staleness{0};
  time_point start;
  time_point end;
};

/// Everything that clients recorded in one run.
struct history {
  std::vector<write_record> writes;
  std::vector<read_record> reads;
  /// Rows found at the end: how often each number stands there.
  std::map<std::uint64_t, std::uint64_t> final_rows;
  /// Value of each key at the end.
  std::map<std::uint64_t, std::uint64_t> final_values;
  /// Times a row must stand there if its write took effect.
  std::uint64_t rows_per_write = 1;
};

/// Broken promises, by kind.
struct violation_counts {
  std::uint64_t stale_reads = 0;
  std::uint64_t lost_writes = 0;
  std::uint64_t duplicated_writes = 0;
  std::uint64_t partial_transactions = 0;
  std::uint64_t executed_despite_not_run = 0;
  /// Started after a successor had acknowledged, and yet acknowledged.
  std::uint64_t replaced_primary_acks = 0;

  [[nodiscard]] std::uint64_t Total() const {
    return stale_reads + lost_writes + duplicated_writes +
           partial_transactions + executed_despite_not_run +
           replaced_primary_acks;
  }
};

/// Reads that showed less than they had to.
[[nodiscard]] std::vector<read_record> FindStaleReads(const history& recorded);

/// Checks a history.
[[nodiscard]] violation_counts CheckHistory(const history& recorded);

/// Says what was found, on one line.
[[nodiscard]] std::string Describe(const violation_counts& counts);

/// Records from several threads.
class history_recorder {
 public:
  void Add(const write_record& record);
  void Add(const read_record& record);
  [[nodiscard]] history Take();

 private:
  std::mutex mutex_;
  history recorded_;
};

}  // namespace test_support

#endif  // TEST_SUPPORT_HISTORY_H_
