#ifndef TEST_SASSAFRASWICK_ADMISSION_QUEUE_LOAD_H_
#define TEST_SASSAFRASWICK_ADMISSION_QUEUE_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafraswick/admission/admission_queue.h"

/// @file
/// Plays statements against an admission queue and an instance with a number of
/// slots, in order of time.

namespace sassafraswick::test {

/// A statement that arrives, and what became of it.
struct played_statement {
  admission_request request;
  duration arrives_at = duration::zero();
  /// Time for which it occupies a slot.
  duration work = duration::zero();

  std::optional<duration> started_at;
  std::optional<duration> rejected_at;
  rejection_reason reason = rejection_reason::kNoRoom;
  duration retry_after = duration::zero();

  [[nodiscard]] duration Wait() const { return *started_at - arrives_at; }
  /// Time for which it could wait.
  [[nodiscard]] duration Budget() const {
    return std::chrono::duration_cast<duration>(request.latest_start -
                                                (time_point() + arrives_at));
  }
};

/// Makes a statement whose work takes as long as expected.
inline played_statement MakeStatement(std::uint32_t priority,
                                      std::string organisation,
                                      duration arrives_at, duration work,
                                      duration budget) {
  played_statement statement;
  statement.request.priority = priority;
  statement.request.organisation = std::move(organisation);
  statement.request.expected_work = work;
  statement.request.latest_start = time_point() + arrives_at + budget;
  statement.arrives_at = arrives_at;
  statement.work = work;
  return statement;
}

/// Runs at most `slots` of the statements that the queue starts; the others
/// wait at the instance in the order of their starts.
class queue_load {
 public:
  explicit queue_load(std::uint32_t slots) : queue_(slots), slots_(slots) {}

  admission_queue& Queue() { return queue_; }

  void Add(played_statement statement) {
    statement.request.id = statements_.size();
    statements_.push_back(std::move(statement));
  }

  /// Plays all statements to their ends.
  std::vector<played_statement>& Play() {
    std::vector<ticket_id> arrivals;
    for (const played_statement& statement : statements_) {
      arrivals.push_back(statement.request.id);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [this](ticket_id left, ticket_id right) {
                       return statements_[left].arrives_at <
                              statements_[right].arrives_at;
                     });
    auto next = arrivals.begin();
    while (next != arrivals.end() || !ends_.empty() || queue_.Waiting() > 0) {
      const std::optional<time_point> expiry = queue_.NextExpiry();
      const duration arrival = next == arrivals.end()
                                   ? duration::max()
                                   : statements_[*next].arrives_at;
      const duration end =
          ends_.empty() ? duration::max() : ends_.begin()->first;
      const duration expires =
          expiry.has_value()
              ? std::chrono::duration_cast<duration>(*expiry - time_point())
              : duration::max();
      if (end <= arrival && end <= expires) {
        now_ = end;
        const ticket_id id = ends_.begin()->second;
        ends_.erase(ends_.begin());
        RunNext();
        Apply(queue_.Finish(id, time_point() + now_));
      } else if (arrival <= expires) {
        now_ = arrival;
        const ticket_id id = *next++;
        Apply(queue_.Submit(statements_[id].request, time_point() + now_));
      } else {
        now_ = std::max(now_, expires);
        Apply(queue_.Expire(time_point() + now_));
      }
    }
    return statements_;
  }

 private:
  void Apply(const admission_change& change) {
    for (const ticket_id id : change.started) {
      sent_.push_back(id);
      RunNext();
    }
    for (const admission_rejection& rejection : change.rejected) {
      played_statement& statement = statements_[rejection.id];
      statement.rejected_at = now_;
      statement.reason = rejection.reason;
      statement.retry_after = rejection.retry_after;
    }
  }

  void RunNext() {
    while (!sent_.empty() && ends_.size() < slots_) {
      played_statement& statement = statements_[sent_.front()];
      statement.started_at = now_;
      ends_.emplace(now_ + statement.work, sent_.front());
      sent_.erase(sent_.begin());
    }
  }

  admission_queue queue_;
  std::size_t slots_;
  std::vector<played_statement> statements_;
  /// Statements on their way to a slot.
  std::vector<ticket_id> sent_;
  std::multimap<duration, ticket_id> ends_;
  duration now_ = duration::zero();
};

}  // namespace sassafraswick::test

#endif  // TEST_SASSAFRASWICK_ADMISSION_QUEUE_LOAD_H_
