#ifndef SASSAFRASWICK_ADMISSION_ADMISSION_REQUEST_H_
#define SASSAFRASWICK_ADMISSION_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// What a host asks of the queue before an instance, and what the queue
/// decides.

namespace sassafraswick {

/// Identifies a statement within its queue.
using ticket_id = std::uint64_t;

/// A statement that asks to run at an instance.
struct admission_request {
  ticket_id id = 0;
  /// Urgency; 0 is the most urgent.
  std::uint32_t priority = 1;
  /// The statement belongs to a transaction that is open on the instance.
  bool in_transaction = false;
  std::string organisation;
  /// Time for which the statement is expected to occupy a slot.
  duration expected_work = duration::zero();
  /// Latest useful time to start.
  time_point latest_start;
};

/// Why a statement will not run.
enum class rejection_reason : std::uint8_t {
  /// On arrival, it could not be expected to start in time.
  kNoRoom,
  /// While it waited, others took its place.
  kDisplaced,
  /// It waited until its latest start.
  kExpired,
};

/// Returns the name of a reason in logs and metrics.
[[nodiscard]] std::string_view RejectionName(rejection_reason reason) noexcept;

/// A statement that will not run, and when to come back.
struct admission_rejection {
  ticket_id id = 0;
  duration retry_after = duration::zero();
  rejection_reason reason = rejection_reason::kNoRoom;
};

/// What a call changed.
struct admission_change {
  /// Statements to send now, in this order.
  std::vector<ticket_id> started;
  std::vector<admission_rejection> rejected;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_ADMISSION_REQUEST_H_
