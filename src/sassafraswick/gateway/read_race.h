#ifndef SASSAFRASWICK_GATEWAY_READ_RACE_H_
#define SASSAFRASWICK_GATEWAY_READ_RACE_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/read_plan.h"
#include "sassafraswick/gateway/statement_batch.h"
#include "sassafraswick/gateway/statement_sender.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// Runs a read on up to two instances: if the response of the first one is
/// late, the read also runs on a second one, and the first response counts. The
/// other run is not broken off; its response is discarded.

namespace sassafraswick {

/// One run of a read at an instance.
template <session_codec Codec>
struct read_attempt {
  read_plan<Codec> plan;
  pooled_connection_lease<Codec> lease;
  sent_statement sent;
};

/// Runs the attempts of one read. Keeps itself alive until all have ended.
template <session_codec Codec>
class read_race : public std::enable_shared_from_this<read_race<Codec>> {
 public:
  read_race(gateway_state<Codec>& gateway,
            std::shared_ptr<target_group<Codec>> group, statement query,
            operation_context operation)
      : gateway_(gateway),
        group_(std::move(group)),
        query_(std::move(query)),
        operation_(std::move(operation)),
        changed_(gateway.context.get_executor()) {}

  /// Runs the read at the planned instance and, if its response is late, at a
  /// second one.
  /// @param state The session's variables and prepared statements.
  /// @return The first response that need not be retried elsewhere; without
  /// one, the last failure.
  boost::asio::awaitable<read_attempt<Codec>> Run(const session_state& state,
                                                  read_attempt<Codec> first) {
    started_at_ = monotonic_clock::now();
    const duration late_after =
        gateway_.read_times.LateAfter(ResponseClassOf(operation_.route));
    gateway_.hedge_budget.RecordRequest();
    const std::shared_ptr<target_state<Codec>> target = first.lease.target;
    last_ = first;
    last_.sent.response.failure = failure_code::kNoAnswer;
    last_.sent.response.detail = "the instance does not respond";
    Start(std::move(first), state);
    bool was_late = false;
    while (!decided_ && !IsHopeless()) {
      co_await changed_.Wait(late_after);
      const bool is_late = !decided_ && !running_at_.empty() &&
                           monotonic_clock::now() - started_at_ >= late_after;
      if (is_late && !was_late) {
        was_late = true;
        group_->ProbeIfSilent(target, started_at_);
        StartSecond(*target, state);
      }
    }
    is_over_ = true;
    co_return last_;
  }

 private:
  [[nodiscard]] duration TimeLeft() const {
    const duration left = std::chrono::duration_cast<duration>(
        operation_.Deadline() - monotonic_clock::now());
    return std::max(left, duration(1));
  }

  void Start(read_attempt<Codec> attempt, const session_state& state) {
    running_at_.push_back(attempt.lease.target);
    statement_batch batch = BuildBatch<Codec>(state, *attempt.lease.connection,
                                              query_, attempt.plan.after);
    Spawn(gateway_.context, "read",
          [self = this->shared_from_this(), attempt = std::move(attempt),
           batch = std::move(batch)] { return self->Finish(attempt, batch); });
  }

  /// Returns whether no instance is left that may still respond: all attempts
  /// ended, or their instances were found to be unresponsive meanwhile.
  [[nodiscard]] bool IsHopeless() const {
    return std::all_of(
        running_at_.begin(), running_at_.end(),
        [this](const std::shared_ptr<target_state<Codec>>& target) {
          return target->IsUnresponsiveSince(started_at_);
        });
  }

  void StartSecond(const target_state<Codec>& late,
                   const session_state& state) {
    read_attempt<Codec> second;
    second.plan = PlanRead(*group_, operation_, {late.record.id});
    const std::shared_ptr<target_state<Codec>>& target = second.plan.target;
    const bool is_useful = target != nullptr && target.get() != &late &&
                           monotonic_clock::now() >= target->avoid_until;
    if (!is_useful || !gateway_.hedge_budget.TryTake() || !TakeToken()) {
      return;
    }
    Log(log_level::kInfo, "read_is_late",
        {{"request", query_.id},
         {"pool", operation_.route.pool},
         {"target", late.record.id},
         {"second", target->record.id}});
    ++gateway_.counters.hedged_reads;
    running_at_.push_back(target);
    Spawn(gateway_.context, "read",
          [self = this->shared_from_this(), second = std::move(second),
           copy = state] { return self->RunSecond(second, copy); });
  }

  /// Takes a token of the organisation's rate, which counts every run at an
  /// instance. A read on an open route needs none.
  [[nodiscard]] bool TakeToken() {
    if (operation_.organisation.empty()) {
      return true;
    }
    const catalog& current = *gateway_.current_catalog;
    const auto found = current.organisations.find(operation_.organisation);
    return found != current.organisations.end() &&
           gateway_.limiter.TryAdmit(found->second);
  }

  boost::asio::awaitable<void> RunSecond(read_attempt<Codec> attempt,
                                         session_state state) {
    if (attempt.plan.wait > duration::zero()) {
      co_await Sleep(attempt.plan.wait);
    }
    attempt.lease = co_await group_->Acquire(
        attempt.plan.target,
        MakeLeaseRequest(operation_, lease_use::kSingleRead,
                         operation_.Deadline()));
    const bool has_connection = attempt.lease.connection != nullptr;
    if (has_connection && is_over_) {
      group_->Release(attempt.lease, true);
    }
    if (!has_connection || is_over_) {
      End(attempt.plan.target);
      co_return;
    }
    statement_batch batch = BuildBatch<Codec>(state, *attempt.lease.connection,
                                              query_, attempt.plan.after);
    co_await Finish(std::move(attempt), std::move(batch));
  }

  boost::asio::awaitable<void> Finish(read_attempt<Codec> attempt,
                                      statement_batch batch) {
    const duration left = TimeLeft();
    attempt.sent =
        co_await SendBatch<Codec>(group_, attempt.lease, batch, left);
    const statement_result& response = attempt.sent.response;
    group_->Release(attempt.lease, response.failure != failure_code::kNoAnswer);
    if (response.failure == failure_code::kBusy) {
      attempt.lease.target->avoid_until = monotonic_clock::now() + kBusyBackoff;
    }
    if (response.failure == failure_code::kNone) {
      RecordRead(attempt);
    }
    if (!decided_) {
      decided_ = !IsRetryable(response);
      last_ = attempt;
    }
    End(attempt.lease.target);
  }

  void End(const std::shared_ptr<target_state<Codec>>& target) {
    running_at_.erase(
        std::find(running_at_.begin(), running_at_.end(), target));
    changed_.NotifyAll();
  }

  void RecordRead(const read_attempt<Codec>& attempt) {
    const duration took = std::chrono::duration_cast<duration>(
        monotonic_clock::now() - attempt.sent.sent_at);
    gateway_.read_times.Record(ResponseClassOf(operation_.route), took);
    gateway_.RecordRead(*group_, *attempt.lease.target, operation_.route, took);
  }

  gateway_state<Codec>& gateway_;
  std::shared_ptr<target_group<Codec>> group_;
  statement query_;
  operation_context operation_;
  async_event changed_;
  time_point started_at_;
  /// Instances of the attempts that have not ended.
  std::vector<std::shared_ptr<target_state<Codec>>> running_at_;
  /// `last_` is the response to return.
  bool decided_ = false;
  /// The caller no longer waits for a response.
  bool is_over_ = false;
  /// The attempt that ended last or, before that, the first one.
  read_attempt<Codec> last_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_READ_RACE_H_
