#include "test/support/history.h"

#include <algorithm>

namespace test_support {
namespace {

using writes_by_key = std::map<std::uint64_t, std::vector<write_record>>;

writes_by_key GroupByKey(const history& recorded) {
  writes_by_key grouped;
  for (const write_record& write : recorded.writes) {
    grouped[write.key].push_back(write);
  }
  return grouped;
}

/// Largest value of a key whose write was acknowledged before a time.
std::uint64_t MaxAcknowledgedBefore(const std::vector<write_record>& writes,
                                    time_point before) {
  std::uint64_t max_value = 0;
  for (const write_record& write : writes) {
    if (write.result == outcome::kAcknowledged && write.end < before) {
      max_value = std::max(max_value, write.value);
    }
  }
  return max_value;
}

std::uint64_t MinAllowedValue(const read_record& read,
                              const std::vector<write_record>& writes) {
  switch (read.kind) {
    case read_kind::kStrong:
      return MaxAcknowledgedBefore(writes, read.start);
    case read_kind::kToken:
      return read.token_value;
    case read_kind::kStale:
      return MaxAcknowledgedBefore(writes, read.start - read.max_staleness);
  }
  return 0;
}

std::uint64_t RowCount(const history& recorded, std::uint64_t row_id) {
  const auto found = recorded.final_rows.find(row_id);
  return found == recorded.final_rows.end() ? 0 : found->second;
}

void CheckRows(const history& recorded, violation_counts& counts) {
  const std::uint64_t expected_rows = recorded.rows_per_write;
  for (const write_record& write : recorded.writes) {
    const std::uint64_t found = RowCount(recorded, write.row_id);
    counts.lost_writes +=
        write.result == outcome::kAcknowledged && found == 0 ? 1 : 0;
    counts.executed_despite_not_run +=
        write.result == outcome::kNotRun && found > 0 ? 1 : 0;
    counts.partial_transactions += found % expected_rows != 0 ? 1 : 0;
    counts.duplicated_writes += found > expected_rows ? 1 : 0;
  }
}

void CheckFinalValues(const history& recorded, const writes_by_key& grouped,
                      violation_counts& counts) {
  for (const std::pair<const std::uint64_t, std::vector<write_record>>& entry :
       grouped) {
    const std::uint64_t acknowledged =
        MaxAcknowledgedBefore(entry.second, time_point::max());
    const auto found = recorded.final_values.find(entry.first);
    const std::uint64_t value =
        found == recorded.final_values.end() ? 0 : found->second;
    counts.lost_writes += value < acknowledged ? 1 : 0;
  }
}

using term_key = std::pair<std::size_t, std::uint64_t>;

void CheckTerms(const history& recorded, violation_counts& counts) {
  std::map<term_key, time_point> first_acknowledged;
  for (const write_record& write : recorded.writes) {
    if (write.result == outcome::kAcknowledged) {
      const auto inserted =
          first_acknowledged
              .emplace(term_key(write.group, write.term), write.end)
              .first;
      inserted->second = std::min(inserted->second, write.end);
    }
  }
  for (const write_record& write : recorded.writes) {
    const auto successor =
        first_acknowledged.upper_bound(term_key(write.group, write.term));
    const auto next_group =
        first_acknowledged.lower_bound(term_key(write.group + 1, 0));
    const bool replaced = std::any_of(
        successor, next_group,
        [&write](const std::pair<const term_key, time_point>& entry) {
          return entry.second < write.start;
        });
    counts.replaced_primary_acks +=
        write.result == outcome::kAcknowledged && replaced ? 1 : 0;
  }
}

}  // namespace

std::vector<read_record> FindStaleReads(const history& recorded) {
  std::vector<read_record> stale;
  const writes_by_key grouped = GroupByKey(recorded);
  for (const read_record& read : recorded.reads) {
    const auto writes = grouped.find(read.key);
    if (writes != grouped.end() &&
        read.value < MinAllowedValue(read, writes->second)) {
      stale.push_back(read);
    }
  }
  return stale;
}

violation_counts CheckHistory(const history& recorded) {
  violation_counts counts;
  const writes_by_key grouped = GroupByKey(recorded);
  counts.stale_reads = FindStaleReads(recorded).size();
  CheckRows(recorded, counts);
  CheckFinalValues(recorded, grouped, counts);
  CheckTerms(recorded, counts);
  return counts;
}

std::string Describe(const violation_counts& counts) {
  return "stale reads " + std::to_string(counts.stale_reads) +
         ", lost writes " + std::to_string(counts.lost_writes) +
         ", duplicated writes " + std::to_string(counts.duplicated_writes) +
         ", partially applied transactions " +
         std::to_string(counts.partial_transactions) +
         ", executed despite 'not run' " +
         std::to_string(counts.executed_despite_not_run) +
         ", acknowledged by a replaced primary " +
         std::to_string(counts.replaced_primary_acks);
}

void history_recorder::Add(const write_record& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  recorded_.writes.push_back(record);
}

void history_recorder::Add(const read_record& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  recorded_.reads.push_back(record);
}

history history_recorder::Take() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::move(recorded_);
}

}  // namespace test_support
