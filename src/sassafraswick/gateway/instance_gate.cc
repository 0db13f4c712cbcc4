#include "sassafraswick/gateway/instance_gate.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace sassafraswick {

admission_ticket::~admission_ticket() {
  // Posted, since the coroutine of the statement may be in destruction.
  boost::asio::post(gate_->executor_,
                    [gate = gate_, id = id_] { gate->Finish(id); });
}

boost::asio::awaitable<admission_outcome> instance_gate::Admit(
    admission_request request) {
  constexpr duration kMinWait = std::chrono::milliseconds(1);
  const std::shared_ptr<instance_gate> self = shared_from_this();
  const std::shared_ptr<waiting_statement> statement =
      std::make_shared<waiting_statement>(executor_);
  request.id = ++last_id_;
  const ticket_id id = request.id;
  waiting_[id] = statement;
  Apply(queue_.Submit(request, monotonic_clock::now()));
  while (!statement->started && !statement->retry_after.has_value()) {
    const time_point now = monotonic_clock::now();
    const time_point expiry =
        queue_.NextExpiry().value_or(request.latest_start);
    const time_point until = std::min(expiry, request.latest_start);
    co_await statement->decided.Wait(
        std::max(std::chrono::duration_cast<duration>(until - now), kMinWait));
    Apply(queue_.Expire(monotonic_clock::now()));
  }
  admission_outcome outcome;
  if (statement->started) {
    outcome.ticket = std::make_shared<admission_ticket>(self, id);
  } else {
    outcome.retry_after = *statement->retry_after;
  }
  co_return outcome;
}

void instance_gate::Finish(ticket_id id) {
  Apply(queue_.Finish(id, monotonic_clock::now()));
}

void instance_gate::Apply(const admission_change& change) {
  for (const ticket_id id : change.started) {
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) {
      found->second->started = true;
      found->second->decided.NotifyAll();
      waiting_.erase(found);
    }
  }
  for (const admission_rejection& rejection : change.rejected) {
    const auto found = waiting_.find(rejection.id);
    if (found != waiting_.end()) {
      found->second->retry_after = rejection.retry_after;
      found->second->decided.NotifyAll();
      waiting_.erase(found);
    }
  }
}

}  // namespace sassafraswick
