#ifndef SASSAFRASWICK_GATEWAY_INSTANCE_GATE_H_
#define SASSAFRASWICK_GATEWAY_INSTANCE_GATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "sassafraswick/admission/admission_queue.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// Lets coroutines wait for the admission of their statements to an instance.

namespace sassafraswick {

class instance_gate;

/// Permission for a statement to run. Ends with the object.
class admission_ticket {
 public:
  admission_ticket(std::shared_ptr<instance_gate> gate, ticket_id id)
      : gate_(std::move(gate)), id_(id) {}
  admission_ticket(const admission_ticket&) = delete;
  admission_ticket& operator=(const admission_ticket&) = delete;
  ~admission_ticket();

 private:
  std::shared_ptr<instance_gate> gate_;
  ticket_id id_;
};

struct admission_outcome {
  /// Null if the statement was rejected.
  std::shared_ptr<admission_ticket> ticket;
  /// For a rejection: when to come back.
  duration retry_after = duration::zero();
};

class instance_gate : public std::enable_shared_from_this<instance_gate> {
 public:
  explicit instance_gate(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)), queue_(1) {}

  /// @param slots Statements that the instance runs concurrently.
  void SetSlots(std::uint32_t slots) { queue_.SetSlots(slots); }

  /// Waits until a statement may run or is rejected.
  /// @param request Its `id` is set here.
  boost::asio::awaitable<admission_outcome> Admit(admission_request request);

  /// Records that the instance had no free slot for a statement.
  void RecordFull() { queue_.RecordFull(monotonic_clock::now()); }

  [[nodiscard]] duration ExpectedWait(std::uint32_t priority) const {
    return queue_.ExpectedWait(priority, monotonic_clock::now());
  }

 private:
  friend class admission_ticket;

  struct waiting_statement {
    explicit waiting_statement(const boost::asio::any_io_executor& executor)
        : decided(executor) {}
    async_event decided;
    bool started = false;
    std::optional<duration> retry_after;
  };

  void Finish(ticket_id id);
  void Apply(const admission_change& change);

  boost::asio::any_io_executor executor_;
  admission_queue queue_;
  std::map<ticket_id, std::shared_ptr<waiting_statement>> waiting_;
  ticket_id last_id_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_INSTANCE_GATE_H_
