#include <algorithm>
#include <memory>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

void model::SendRequest(
    host& from, const std::string& id, std::function<void(instance&)> effect,
    std::function<void(std::optional<status_response>)> on_response) {
  const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
  const auto complete = [is_done, on_response = std::move(on_response)](
                            const std::optional<status_response>& response) {
    if (!std::exchange(*is_done, true)) {
      on_response(response);
    }
  };
  AtHost(from, kControlTimeout, [complete] { complete(std::nullopt); });
  After(MessageDelay(),
        [this, &from, id, effect = std::move(effect), complete] {
          instance& to = Find(id);
          if (!to.running || unresponsive_.contains(id) ||
              IsPartitioned(from.name, id)) {
            return;
          }
          effect(to);
          const status_response response = MakeResponse(to);
          const duration back = MessageDelay();
          if (Chance(1) || IsPartitioned(from.name, id)) {
            return;
          }
          AtHost(from, back, [complete, response] { complete(response); });
        });
}

void model::RecordResponse(host& self, const std::string& id,
                           const status_response& response,
                           time_point requested_at) {
  self.answered_at[id] = now_;
  sassafraswick::instance_health& health = self.health[id];
  health.id = id;
  health.silent_since.reset();
  if (response.position.term > self.view.term) {
    RecordNotPrimary(self.view, id, response.position.term);
  }
  RecordPosition(self.view, id, response.position, requested_at);
}

void model::RequestStatus(
    host& self, const std::string& id,
    std::function<void(std::optional<status_response>)> on_response,
    std::function<void(instance&)> effect) {
  const time_point requested_at = now_;
  SendRequest(
      self, id, std::move(effect),
      [this, &self, id, requested_at, on_response = std::move(on_response)](
          std::optional<status_response> response) {
        sassafraswick::instance_health& health = self.health[id];
        health.id = id;
        if (response.has_value()) {
          RecordResponse(self, id, *response, requested_at);
          if (!health.status.has_value() ||
              requested_at >= health.requested_at) {
            health.status = response->status;
            health.requested_at = requested_at;
          }
          if (response->status.is_primary) {
            RecordPrimary(self.view, id, response->status.term);
          } else {
            RecordNotPrimary(self.view, id, response->status.term);
          }
        } else if (self.answered_at[id] <= requested_at &&
                   !health.silent_since.has_value()) {
          health.silent_since = requested_at;
        }
        if (on_response) {
          on_response(response);
        }
      });
}

void model::Tick(host& self) {
  MaintainLease(self);
  Watch(self);
  const bool unknown = self.view.primary.empty();
  for (const instance& each : instances_) {
    if (unknown && now_ - self.requested_at[each.id] > kStatusInterval) {
      self.requested_at[each.id] = now_;
      RequestStatus(self, each.id);
    }
  }
  AtHost(self, kTickInterval, [this, &self] { Tick(self); });
}

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
    self.is_watching = false;
    return;
  }
  if (!self.is_watching) {
    self.is_watching = true;
    self.replacement = sassafraswick::replacement_state();
    self.health.clear();
    Trace(self.name + " observes the group");
  }
  for (const instance& each : instances_) {
    if (now_ - self.requested_at[each.id] > kStatusInterval) {
      self.requested_at[each.id] = now_;
      RequestStatus(self, each.id);
    }
  }
  const bool skip_wait = options_.bug == injected_bug::kSkipLeaseWait &&
                         self.replacement.phase == replacement_phase::kWaiting;
  const time_point tick_time =
      skip_wait ? now_ + sassafraswick::kPrimaryLeaseDuration : now_;
  // All instances are listed from the start.
  if (!store_.down && !IsPartitioned(self.name, "store")) {
    self.replacement.list_read_at = now_;
  }
  for (replacement_action& action : AdvanceReplacement(
           self.replacement, GroupHealth(self), settings_, tick_time)) {
    ExecuteAction(self, action);
  }
}

sassafraswick::group_health model::GroupHealth(const host& self) {
  sassafraswick::group_health health;
  for (std::size_t i = 0; i < kInstanceCount; ++i) {
    const std::string id = "i" + std::to_string(i);
    const auto found = self.health.find(id);
    health.push_back(found == self.health.end()
                         ? sassafraswick::instance_health()
                         : found->second);
    health.back().id = id;
  }
  return health;
}

void model::ExecuteAction(host& self, const replacement_action& action) {
  if (action.kind == replacement_action_kind::kPromote) {
    Promote(self, action);
    return;
  }
  RequestStatus(
      self, action.instance,
      [this, &self, action](const std::optional<status_response>& response) {
        if (response.has_value() && self.is_watching) {
          RecordFenced(self.replacement, GroupHealth(self), action,
                       response->status, now_);
        }
      },
      [this, action](instance& to) {
        Trace("action " + std::to_string(static_cast<int>(action.kind)) +
              " of term " + std::to_string(action.term) + " at " + to.id);
        if (action.kind == replacement_action_kind::kStepDown) {
          const bool steps_down = to.is_primary && to.term < action.term;
          to.is_primary = to.is_primary && !steps_down;
        } else if (action.kind == replacement_action_kind::kPauseReplication) {
          to.paused_term = action.term > to.term && !to.is_primary
                               ? action.term
                               : to.paused_term;
        } else {
          to.paused_term = 0;
          ReplicateAll();
        }
      });
}

void model::Promote(host& self, replacement_action action) {
  if (!HoldsFailover(self)) {
    return;
  }
  if (options_.bug == injected_bug::kPromoteAnyInstance) {
    for (const instance& each : instances_) {
      const auto known = self.health.find(each.id);
      const bool responds =
          known != self.health.end() && !known->second.silent_since.has_value();
      if (responds && each.id != self.replacement.primary) {
        action.instance = each.id;
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
        " with token " + std::to_string(token));
  After(MessageDelay(), [this, &self, action, token] {
    if (token < highest_token_) {
      ReportViolation("a promotion request arrived with token " +
                      std::to_string(token) + " after " +
                      std::to_string(highest_token_));
    }
    highest_token_ = std::max(highest_token_, token);
    const bool runs = Find(action.instance).running;
    if (runs) {
      After(RandomDuration(kMaxPromotionDelay),
            [this, action] { CompletePromotion(action.instance); });
    }
    AtHost(self, MessageDelay(), [this, &self, action, runs] {
      if (self.is_watching) {
        RecordPromoted(self.replacement, action,
                       runs ? sassafraswick::order_result::kAccepted
                            : sassafraswick::order_result::kNotRunning,
                       now_);
      }
    });
  });
}

}  // namespace promotion_model
