#ifndef SASSAFRASWICK_NET_TRANSFER_DEADLINE_H_
#define SASSAFRASWICK_NET_TRANSFER_DEADLINE_H_

#include <algorithm>
#include <chrono>

#include "sassafraswick/core/time.h"

/// @file
/// Deadline of a transfer, which depends on progress rather than on total time.
/// With a short total timeout, readers of a large document abort transfers that
/// are merely slow and restart them, which keeps a saturated link saturated.

namespace sassafraswick {

/// Time without data after which a transfer that has begun is aborted. It
/// covers three retransmissions of a lost segment, after 200, 400 and 800 ms.
inline constexpr duration kTransferStallTimeout =
    std::chrono::milliseconds(1500);
/// Time after the first byte is due within which a transfer must complete:
/// 1.4 MB, the store's largest response, at 0.4 Mbit/s.
inline constexpr duration kMaxTransferTime = std::chrono::seconds(30);

/// Deadline for the next data of one transfer.
class transfer_deadline {
 public:
  transfer_deadline(time_point started_at, duration first_byte_timeout) noexcept
      : final_deadline_(started_at + first_byte_timeout + kMaxTransferTime),
        next_deadline_(started_at + first_byte_timeout) {}

  /// Extends the deadline after data was received.
  void RecordProgress(time_point now) noexcept {
    next_deadline_ = std::min(now + kTransferStallTimeout, final_deadline_);
  }

  /// Time until the deadline, or zero if it has passed.
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
