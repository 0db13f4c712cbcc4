#ifndef SASSAFRASWICK_CORE_LOG_POINT_H_
#define SASSAFRASWICK_CORE_LOG_POINT_H_

#include <cstdint>
#include <vector>

/// @file
/// Terms and positions in a database group's replication log.

namespace sassafraswick {

/// Number of a primary's term; increases with every promotion.
using term_number = std::uint64_t;
/// Number of entries from the start of the group's log.
using log_position = std::uint64_t;

/// A position in a group's log and the term of the primary that wrote it.
struct log_point {
  term_number term = 0;
  log_position position = 0;

  friend bool operator==(const log_point&, const log_point&) = default;
};

/// The point in the log at which a term starts.
struct term_start {
  term_number term = 0;
  /// Position of the last entry kept from earlier terms.
  log_position position = 0;

  friend bool operator==(const term_start&, const term_start&) = default;
};

/// Starts of the known terms, oldest first.
using term_history = std::vector<term_start>;

/// Compares the ends of two logs, first by term.
/// @return True if `left` is less advanced than `right`.
[[nodiscard]] constexpr bool IsBehind(log_point left,
                                      log_point right) noexcept {
  return left.term != right.term ? left.term < right.term
                                 : left.position < right.position;
}

/// Determines whether a later promotion discarded a point.
/// @param point A point that an instance reported at some time.
/// @param history Starts of the terms that are known now.
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
