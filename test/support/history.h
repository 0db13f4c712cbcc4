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
/// Recorded operations of clients, and a checker of the consistency guarantees.
///
/// Each key has one writer, which sets it to 1, 2, 3, ... In the same
/// transaction, each write inserts `rows_per_write` rows with a number that is
/// unique to the write. Stale reads and lost, duplicated or partially applied
/// writes are therefore detectable.

namespace test_support {

using sassafraswick::time_point;

enum class outcome : std::uint8_t {
  kAcknowledged,
  /// The error said that the write was not run, or COMMIT was not sent.
  kNotRun,
  /// The response does not say whether the write took effect, or the connection
  /// was lost.
  kUnknown,
};

/// A write that sets a key to `value` and inserts rows numbered `row_id`.
struct write_record {
  std::uint64_t key = 0;
  std::uint64_t value = 0;
  std::uint64_t row_id = 0;
  outcome result = outcome::kUnknown;
  /// Term in the session token that was returned with the response.
  std::uint64_t term = 0;
  time_point start;
  time_point end;
  /// Database group. Terms of different groups are unrelated.
  std::size_t group = 0;
};

enum class read_kind : std::uint8_t {
  /// Without a token: must return every write acknowledged before the read.
  kStrong,
  /// With the token of an earlier write of the key: must return that write or a
  /// later one.
  kToken,
  /// With a staleness bound: must return every write acknowledged more than
  /// `max_staleness` before the read.
  kStale,
};

/// A read of a key that returned `value`, or 0 if there was no such key.
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
  /// Number of rows found at the end, by row number.
  std::map<std::uint64_t, std::uint64_t> final_rows;
  /// Value of each key at the end.
  std::map<std::uint64_t, std::uint64_t> final_values;
  /// Number of rows that each write inserts.
  std::uint64_t rows_per_write = 1;
};

/// Number of violations of each consistency guarantee.
struct violation_counts {
  std::uint64_t stale_reads = 0;
  std::uint64_t lost_writes = 0;
  std::uint64_t duplicated_writes = 0;
  std::uint64_t partial_transactions = 0;
  /// Writes reported as not run whose rows exist.
  std::uint64_t executed_despite_not_run = 0;
  /// Writes acknowledged by a primary although they began after its successor
  /// had acknowledged a write.
  std::uint64_t replaced_primary_acks = 0;

  [[nodiscard]] std::uint64_t Total() const {
    return stale_reads + lost_writes + duplicated_writes +
           partial_transactions + executed_despite_not_run +
           replaced_primary_acks;
  }
};

/// Returns the reads that returned an older value than they were allowed to.
[[nodiscard]] std::vector<read_record> FindStaleReads(const history& recorded);

/// Counts the violations in a history.
[[nodiscard]] violation_counts CheckHistory(const history& recorded);

/// Formats the counts on one line.
[[nodiscard]] std::string Describe(const violation_counts& counts);

/// Collects a history; thread-safe.
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
