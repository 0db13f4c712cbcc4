#ifndef SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_
#define SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/admission/admission_request.h"
#include "sassafraswick/admission/start_sequence.h"
#include "sassafraswick/core/time.h"

/// @file
/// Orders the statements that one host sends to one instance: bounds how many
/// run at a time, and rejects at once those that cannot be served in time.
///
/// The forecast simulates the order of `start_sequence` over the slots, so a
/// statement is rejected for the same reasons for which it would start late.

namespace sassafraswick {

class admission_queue {
 public:
  /// @param slots Statements that the instance runs concurrently.
  explicit admission_queue(std::uint32_t slots) : slots_(slots) {}

  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// Adds a statement. It starts, waits, or is rejected at once. Less urgent
  /// ones that can no longer start in time are rejected in its favour.
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

  /// Records that the instance had no free slot for a statement. Fewer run at a
  /// time for a while.
  void RecordFull(time_point now);

  [[nodiscard]] std::size_t Waiting() const noexcept { return waiting_.size(); }
  [[nodiscard]] std::size_t Running() const noexcept { return running_.size(); }
  /// Number of statements that may run at a time.
  [[nodiscard]] std::uint32_t Limit() const noexcept;

 private:
  struct running_statement {
    admission_request request;
    time_point started_at;
  };

  struct start_forecast {
    std::size_t index = 0;
    time_point start;
  };

  /// Slots that the forecast assumes.
  [[nodiscard]] std::uint32_t UsableSlots() const noexcept {
    return std::max<std::uint32_t>(std::min(slots_, Limit()), 1);
  }

  void RestoreLimit(time_point now);
  void Start(const admission_request& request, bool overtakes, time_point now);
  void StartNext(admission_change& change, time_point now);
  void RejectExpired(admission_change& change, time_point now);
  void MakeRoom(ticket_id arrival, admission_change& change, time_point now);
  void Reject(std::size_t index, rejection_reason reason, duration until_room,
              admission_change& change, time_point now);
  [[nodiscard]] duration ReserveReturn(const admission_request& request,
                                       duration until_room, time_point now);

  /// Forecasts the starts of waiting statements, in their order.
  [[nodiscard]] std::vector<start_forecast> Forecast(
      const std::vector<waiting_statement>& waiting, time_point now) const;
  /// Times at which slots become free, as a heap with the earliest first.
  [[nodiscard]] std::vector<time_point> SlotEnds(time_point now) const;

  std::uint32_t slots_;
  /// Reduction of the limit, because the instance was full.
  std::uint32_t reduction_ = 0;
  time_point limit_changed_at_;
  std::vector<waiting_statement> waiting_;
  std::vector<running_statement> running_;
  priority_shares shares_;
  ageing_debt debt_;
  /// When the next rejected statement of each priority is to come back.
  std::map<std::uint32_t, time_point> next_returns_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_ADMISSION_QUEUE_H_
