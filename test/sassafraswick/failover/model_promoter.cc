#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/step_down_relay.h"
#include "sassafraswick/failover/successor_choice.h"
#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

bool model::HoldsFailover(const host& self) const {
  const bool named =
      self.registry.failover.holder == self.name &&
      self.registry.failover.lease == self.lease.id &&
      self.registry.failover.fencing_token.era == self.lease.era &&
      self.lease.era == self.eras.Current();
  const bool in_time = now_ < self.lease.ValidUntil() ||
                       options_.bug == injected_bug::kIgnoreLeaseExpiry;
  return named && in_time;
}

void model::Watch(host& self) {
  if (!HoldsFailover(self)) {
    EndClaim(self);
    return;
  }
  BeginClaim(self);
  RequestDueStatuses(self);
  const bool skip_wait = options_.bug == injected_bug::kSkipLeaseWait &&
                         self.replacement.phase == replacement_phase::kWaiting;
  const time_point tick_time =
      skip_wait ? now_ + sassafraswick::kPrimaryLeaseDuration : now_;
  // Behind a fence by pauses, the list of instances is read no earlier than the
  // lease expires, which would hide this bug.
  self.replacement.list_read_at = skip_wait ? tick_time : self.list_read_at;
  if (options_.bug != injected_bug::kIgnoreAcknowledged) {
    self.replacement.acknowledged = self.acknowledged;
  }
  const bool had_order = self.replacement.order.has_value();
  for (replacement_action& action : AdvanceReplacement(
           self.replacement, GroupHealth(self), settings_, tick_time)) {
    if (NeedsRelay(self.replacement, GroupHealth(self), action)) {
      RelayStepDown(self, action);
    }
    ExecuteAction(self, action);
  }
  if (AwaitsList(self.replacement, now_)) {
    ReadList(self);
  }
  if (AwaitsAcknowledged(self.replacement, settings_, self.asked_at, now_)) {
    AskAcknowledged(self);
  }
  if (had_order && !self.replacement.order.has_value() &&
      self.replacement.last_order_end ==
          sassafraswick::order_end::kTookEffect) {
    EraseOrder(self);
  }
}

sassafraswick::group_health model::GroupHealth(const host& self) {
  sassafraswick::group_health health;
  for (const std::pair<const std::string, known_target>& each : self.targets) {
    health.push_back(each.second.health);
    health.back().has_announced_stop = each.second.record.leaving;
  }
  return health;
}

void model::RelayStepDown(host& self, const replacement_action& action) {
  for (host& each : hosts_) {
    if (&each == &self) {
      continue;
    }
    AtHost(each, MessageDelay(), [this, &self, &each, action] {
      RequestStatus(
          each, action.instance,
          [this, &self,
           action](const std::optional<status_response>& response) {
            if (!response.has_value()) {
              return;
            }
            AtHost(self, MessageDelay(),
                   [this, &self, action, status = response->status] {
                     RecordFenceStatus(self, action, status);
                   });
          },
          [this, action](instance& to) { ApplyAction(to, action); });
    });
  }
}

void model::AskAcknowledged(host& self) {
  self.asked_at = now_;
  for (host& each : hosts_) {
    if (&each == &self) {
      continue;
    }
    AtHost(each, kQuestionDelay, [this, &self, &each] {
      AtHost(self, kQuestionDelay, [&self, answer = each.acknowledged] {
        if (IsBehind(self.acknowledged, answer)) {
          self.acknowledged = answer;
        }
      });
    });
  }
}

void model::RecordFenceStatus(host& self, const replacement_action& action,
                              const instance_status& status) {
  if (self.is_watching) {
    RecordFenced(self.replacement, GroupHealth(self), action, status, now_);
  }
}

void model::ExecuteAction(host& self, const replacement_action& action) {
  if (action.kind == replacement_action_kind::kPromote) {
    Promote(self, action);
    return;
  }
  RequestStatus(
      self, action.instance,
      [this, &self, action](const std::optional<status_response>& response) {
        if (response.has_value()) {
          RecordFenceStatus(self, action, response->status);
        }
      },
      [this, action](instance& to) { ApplyAction(to, action); });
}

void model::ApplyAction(instance& to, const replacement_action& action) {
  Trace("action " + std::to_string(static_cast<int>(action.kind)) +
        " of term " + std::to_string(action.term) + " at " + to.id + " with " +
        std::to_string(to.term) + "." + std::to_string(to.log.size()));
  if (action.kind == replacement_action_kind::kStepDown) {
    const bool steps_down = to.is_primary && to.term < action.term;
    to.is_primary = to.is_primary && !steps_down;
    if (steps_down) {
      Register(to);
    }
  } else if (action.kind == replacement_action_kind::kPauseReplication) {
    to.paused_term =
        action.term > to.term && !to.is_primary ? action.term : to.paused_term;
  } else {
    to.paused_term = 0;
    ReplicateAll();
  }
}

void model::Promote(host& self, replacement_action action) {
  if (!HoldsFailover(self) || !self.replacement.order.has_value()) {
    return;
  }
  if (options_.bug == injected_bug::kPromoteAnyInstance) {
    for (const std::pair<const std::string, known_target>& each :
         self.targets) {
      const sassafraswick::instance_health& health = each.second.health;
      if (health.listed && !health.silent_since.has_value() &&
          each.first != self.replacement.primary) {
        action.instance = each.first;
      }
    }
  }
  for (const host& other : hosts_) {
    const bool runs = now_ >= other.paused_until;
    if (&other != &self && runs && HoldsFailover(other)) {
      ReportViolation(self.name + " promotes while " + other.name +
                      " holds the failover lease too");
    }
  }
  const std::int64_t token =
      ToFencingToken(self.registry.failover.fencing_token);
  Trace(self.name + " requests promotion of " + action.instance +
        " with token " + std::to_string(token) + ", proof " +
        std::string(ProofName(self.replacement.proof)));
  TraceKnowledge(self);
  const sassafraswick::promotion_order request = *self.replacement.order;
  WriteOrder(self, [this, &self, action, token, request](bool may_send) {
    const bool is_heard =
        MaySendOrder(self.replacement, GroupHealth(self), settings_, now_);
    if (!may_send) {
      self.orders.Withdraw(kPool, request);
      RecordOrder(self, action, sassafraswick::order_result::kNotRecorded);
    } else if (!HoldsFailover(self) || !is_heard) {
      self.orders.Withdraw(kPool, request);
      RecordOrder(self, action, sassafraswick::order_result::kNotExecuted);
    } else {
      SendOrder(self, action, token);
    }
  });
}

void model::TraceKnowledge(const host& self) {
  for (const std::pair<const std::string, known_target>& each : self.targets) {
    const sassafraswick::instance_health& health = each.second.health;
    std::string text = "  " + each.first;
    text += health.listed ? "" : " unlisted";
    text += health.leaving ? " leaving" : "";
    text += health.replaced ? " replaced" : "";
    text += health.silent_since.has_value() ? " silent" : "";
    text += health.refused_since.has_value() ? " refused" : "";
    if (health.status.has_value()) {
      const instance_status& status = *health.status;
      text += " has " + std::to_string(status.received.term) + "." +
              std::to_string(status.received.position) +
              (status.is_primary ? " leads" : "") + " paused " +
              std::to_string(status.paused_term);
    }
    Trace(text);
  }
  for (const std::pair<const sassafraswick::process_key,
                       sassafraswick::group_member>& each :
       self.replacement.members) {
    Trace(
        "  member " + each.first.first +
        (each.second.left_at.has_value() ? " has left" : "") +
        (WasTermPrimary(self.replacement, each.first) ? ", was primary" : ""));
  }
}

duration model::PromotionDelay() {
  constexpr int kLatePercent = 25;
  const duration delay = RandomDuration(kMaxPromotionDelay);
  const bool are_late =
      options_.late_orders || options_.focus == fault_focus::kLateOrders;
  const bool is_late = are_late && Chance(kLatePercent);
  if (!is_late) {
    return delay;
  }
  const duration lateness =
      kMinOrderLateness + RandomDuration(kMaxOrderLateness - kMinOrderLateness);
  Trace("the order is late by " + std::to_string(lateness.count()) + " us");
  return delay + lateness;
}

void model::SendOrder(host& self, const replacement_action& action,
                      std::int64_t token) {
  const int lost_percent = orders_lost_ ? 50 : 5;
  const bool is_lost = Chance(lost_percent / 5);
  const bool is_response_lost = is_lost || Chance(lost_percent);
  if (is_response_lost) {
    // The connection is reset, or nothing comes.
    AtHost(self, Chance(50) ? MessageDelay() * 2 : kOrderTimeout,
           [this, &self, action] {
             RecordOrder(self, action,
                         options_.bug == injected_bug::kForgetUnansweredOrder
                             ? sassafraswick::order_result::kNotExecuted
                             : sassafraswick::order_result::kUnknown);
           });
  }
  if (is_lost) {
    return;
  }
  After(MessageDelay(), [this, &self, action, token, is_response_lost] {
    if (token < highest_token_) {
      ReportViolation("a promotion request arrived with token " +
                      std::to_string(token) + " after " +
                      std::to_string(highest_token_));
    }
    highest_token_ = std::max(highest_token_, token);
    instance& to = Find(action.instance);
    const bool runs = to.running;
    if (runs) {
      // An order is for a process: another under the same identifier is not
      // promoted.
      After(PromotionDelay(), [this, &to] { CompletePromotion(to); });
    }
    if (!is_response_lost) {
      AtHost(self, MessageDelay(), [this, &self, action, runs] {
        RecordOrder(self, action,
                    runs ? sassafraswick::order_result::kAccepted
                         : sassafraswick::order_result::kNotRunning);
      });
    }
  });
}

void model::RecordOrder(host& self, const replacement_action& action,
                        sassafraswick::order_result outcome) {
  Trace(self.name + " has order result " +
        std::to_string(static_cast<int>(outcome)) + " for " + action.instance);
  if (self.is_watching) {
    RecordPromoted(self.replacement, action, outcome, now_);
  }
}

}  // namespace promotion_model
