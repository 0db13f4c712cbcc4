#ifndef SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_
#define SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Orders the statements that one host sends to one instance: bounds how many
/// run at a time, and rejects at once those that cannot be served in time.

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

/// A statement that will not run, and when to come back.
struct admission_rejection {
  ticket_id id = 0;
  duration retry_after = duration::zero();
};

/// What a call changed.
struct admission_change {
  /// Statements to send now, in this order.
  std::vector<ticket_id> started;
  std::vector<admission_rejection> rejected;
};

class admission_queue {
 public:
  /// @param slots Statements that the instance runs concurrently.
  explicit admission_queue(std::uint32_t slots) : slots_(slots) {}

  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// Adds a statement.
  [[nodiscard]] admission_change Submit(const admission_request& request,
                                        time_point now);

  /// Records that a running statement has ended, or withdraws a waiting one.
  [[nodiscard]] admission_change Finish(ticket_id id, time_point now);

  /// Rejects waiting statements that can no longer start in time.
  [[nodiscard]] admission_change Expire(time_point now);

  /// Time at which to call `Expire`; empty if nothing waits.
  [[nodiscard]] std::optional<time_point> NextExpiry() const;

  /// Expected time until a statement of this priority would start.
  [[nodiscard]] duration ExpectedWait(std::uint32_t priority,
                                      time_point now) const;

 private:
  std::uint32_t slots_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_
