#ifndef SASSAFRASWICK_NET_TRANSFER_DEADLINE_H_
#define SASSAFRASWICK_NET_TRANSFER_DEADLINE_H_

#include <algorithm>
#include <chrono>

#include "sassafraswick/core/time.h"

/// @file
/// When a transfer under way is given up. Progress decides, not the total
/// time: readers of a large document that give up a transfer that is only
/// slow and begin anew keep a full link full.

namespace sassafraswick {

/// Longest time without a byte on a transfer that has begun. A lost segment is
/// sent again after 200 ms, then 400 and 800.
inline constexpr duration kTransferStallTimeout =
    std::chrono::milliseconds(1500);
/// Longest time of a whole transfer: 1.4 MB, the store's largest answer, at
/// 0.4 Mbit/s.
inline constexpr duration kMaxTransferTime = std::chrono::seconds(30);

class transfer_deadline {
 public:
  /// @param first_byte_timeout Time until the first byte.
  transfer_deadline(time_point started_at, duration first_byte_timeout) noexcept
      : final_deadline_(started_at + first_byte_timeout + kMaxTransferTime),
        next_deadline_(started_at + first_byte_timeout) {}

  /// Notes that bytes came.
  void RecordProgress(time_point now) noexcept {
    next_deadline_ = std::min(now + kTransferStallTimeout, final_deadline_);
  }

  /// Time left for the next byte.
  [[nodiscard]] duration Remaining(time_point now) const noexcept {
    return std::max(duration::zero(),
                    std::chrono::duration_cast<duration>(next_deadline_ - now));
  }

 private:
  time_point final_deadline_;
  time_point next_deadline_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_TRANSFER_DEADLINE_H_
