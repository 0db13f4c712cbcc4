#ifndef SASSAFRASWICK_CORE_LOG_POINT_H_
#define SASSAFRASWICK_CORE_LOG_POINT_H_

#include <cstdint>
#include <vector>

/// @file
/// Terms and positions of a database group's replication log.

namespace sassafraswick {

/// Number of a primary's reign; grows with every promotion.
using term_number = std::uint64_t;
/// Count of entries from the start of the group's log.
using log_position = std::uint64_t;

/// A place in a group's log.
struct log_point {
  term_number term = 0;
  log_position position = 0;

  friend bool operator==(const log_point&, const log_point&) = default;
};

/// Where a term's first entry follows its predecessor's last kept entry.
struct term_start {
  term_number term = 0;
  /// Position of the last entry kept from earlier terms.
  log_position position = 0;

  friend bool operator==(const term_start&, const term_start&) = default;
};

/// Starts of the known terms, oldest first.
using term_history = std::vector<term_start>;

/// Tells which of two log ends is more advanced.
/// @return True if `left` holds less of the group's history than `right`.
[[nodiscard]] constexpr bool IsBehind(log_point left,
                                      log_point right) noexcept {
  return left.term != right.term ? left.term < right.term
                                 : left.position < right.position;
}

/// Tells whether a point was discarded by a later promotion.
/// @param point A point that some instance once reported.
/// @param history Starts of the terms known now.
/// @return True if a later term started before the point.
[[nodiscard]] inline bool IsDiscarded(log_point point,
                                      const term_history& history) noexcept {
  for (const term_start& start : history) {
    if (start.term > point.term && start.position < point.position) {
      return true;
    }
  }
  return false;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_POINT_H_
