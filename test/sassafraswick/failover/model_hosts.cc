#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "sassafraswick/failover/group_members.h"
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
  const time_point requested_at = now_;
  After(MessageDelay(),
        [this, &from, id, effect = std::move(effect), complete, requested_at] {
          instance& to = Find(id);
          if (unresponsive_.contains(id) || IsPartitioned(from.name, id)) {
            return;
          }
          if (!to.running) {
            AnswerForEnded(from, to, requested_at,
                           [complete] { complete(std::nullopt); });
            return;
          }
          effect(to);
          status_response response = MakeResponse(to);
          response.status.contact_since = ContactSince(from, to);
          const duration back = MessageDelay();
          if (Chance(1) || IsPartitioned(from.name, id)) {
            return;
          }
          AtHost(from, back, [complete, response] { complete(response); });
        });
}

time_point model::ContactSince(host& from, const instance& to) const {
  const auto found = from.targets.find(to.id);
  if (found == from.targets.end()) {
    return now_;
  }
  host_connection& connection = found->second.connection;
  const bool is_closed =
      from.closes_idle && now_ - connection.used_at > kScarceIdleTimeout;
  if (is_closed || connection.process != &to ||
      connection.incarnation != to.incarnation) {
    connection = {&to, to.incarnation, now_, now_};
  }
  connection.used_at = now_;
  RecordAnswer(found->second.contact, connection.opened_at, now_);
  return found->second.contact.since;
}

void model::AnswerForEnded(host& from, const instance& ended,
                           time_point requested_at,
                           std::function<void()> complete) {
  const bool is_replaced = std::any_of(
      instances_.begin(), instances_.end(), [&ended](const instance& each) {
        return each.running && each.address == ended.address;
      });
  if (!is_replaced && !ended.refuses) {
    return;
  }
  AtHost(from, MessageDelay(),
         [this, &from, id = ended.id, requested_at, is_replaced,
          complete = std::move(complete)] {
           const auto found = from.targets.find(id);
           if (found != from.targets.end()) {
             RecordEnded(found->second, is_replaced, requested_at);
           }
           complete();
         });
}

void model::RecordEnded(known_target& target, bool is_replaced,
                        time_point requested_at) const {
  sassafraswick::instance_health& health = target.health;
  if (is_replaced) {
    // As the real host does on the response `MISROUTED`.
    health.replaced =
        health.replaced || options_.bug != injected_bug::kIgnoreProcessChange;
    return;
  }
  if (requested_at < health.seen_since || target.answered_at > requested_at) {
    return;
  }
  health.silent_since = health.silent_since.value_or(requested_at);
  health.refused_since = health.refused_since.value_or(requested_at);
  health.refused_at = now_;
}

void model::BeginProcess(known_target& target, const std::string& id) const {
  sassafraswick::instance_health health;
  health.id = id;
  health.seen_since = now_;
  health.listed = target.health.listed;
  health.highest_term =
      std::max(target.health.highest_term, target.health.status.has_value()
                                               ? target.health.status->term
                                               : term_number(0));
  target.health = health;
  target.answered_at = time_point();
  target.connection = host_connection();
  target.contact = sassafraswick::process_contact();
}

void model::HandleProcessChange(host& self, known_target& target) {
  BeginProcess(target, target.record.id);
  target.health.claims_primary = target.record.claims_primary;
  target.health.leaving = !target.health.listed || target.record.leaving;
  RecordNotPrimary(self.view, target.record.id, self.view.term);
}

bool model::IsOfEarlierProcess(const host& self, const std::string& id,
                               time_point requested_at) const {
  const auto found = self.targets.find(id);
  return found != self.targets.end() &&
         requested_at < found->second.health.seen_since &&
         options_.bug != injected_bug::kIgnoreProcessChange;
}

void model::RecordResponse(host& self, const std::string& id,
                           const status_response& response,
                           time_point requested_at) {
  const auto found = self.targets.find(id);
  if (found != self.targets.end()) {
    found->second.answered_at = now_;
    found->second.health.silent_since.reset();
    found->second.health.refused_since.reset();
    found->second.health.replaced = false;
    found->second.health.successor.clear();
  }
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
        if (response.has_value()) {
          RecordResponse(self, id, *response, requested_at);
        } else {
          RecordSilence(self, id, requested_at);
        }
        if (IsOfEarlierProcess(self, id, requested_at)) {
          response.reset();
        }
        if (response.has_value()) {
          RecordStatus(self, id, *response, requested_at);
        }
        if (on_response) {
          on_response(response);
        }
      });
}

void model::RecordStatus(host& self, const std::string& id,
                         const status_response& response,
                         time_point requested_at) {
  const auto found = self.targets.find(id);
  if (found != self.targets.end()) {
    const sassafraswick::instance_health& known = found->second.health;
    const bool is_newest =
        !known.status.has_value() || requested_at >= known.requested_at;
    const bool is_other = is_newest && known.status.has_value() &&
                          IsOtherProcess(*known.status, response.status) &&
                          options_.bug != injected_bug::kIgnoreProcessChange;
    if (is_other) {
      Trace(self.name + " finds another process at " + id);
      HandleProcessChange(self, found->second);
    }
    if (is_newest) {
      found->second.health.status = response.status;
      found->second.health.requested_at = requested_at;
    }
    if (response.status.is_primary) {
      found->second.RecordLeading(response.status.term, requested_at);
    }
  }
  if (response.status.is_primary) {
    RecordPrimary(self.view, id, response.status.term);
  } else {
    RecordNotPrimary(self.view, id, response.status.term);
  }
}

void model::RecordSilence(host& self, const std::string& id,
                          time_point requested_at) {
  const auto found = self.targets.find(id);
  if (found == self.targets.end()) {
    return;
  }
  sassafraswick::instance_health& health = found->second.health;
  const bool is_silent = found->second.answered_at <= requested_at &&
                         !health.silent_since.has_value() && !health.replaced;
  if (is_silent) {
    health.silent_since = requested_at;
  }
}

void model::Tick(host& self) {
  RemoveMissing(self);
  ConfirmList(self);
  MaintainLease(self);
  Watch(self);
  CheckClaims(self);
  if (self.view.primary.empty()) {
    RequestDueStatuses(self);
  }
  AtHost(self, kTickInterval, [this, &self] { Tick(self); });
}

void model::RequestDueStatuses(host& self) {
  std::vector<std::string> due;
  for (std::pair<const std::string, known_target>& each : self.targets) {
    if (now_ - each.second.requested_at > kStatusInterval) {
      each.second.requested_at = now_;
      due.push_back(each.first);
    }
  }
  for (const std::string& id : due) {
    RequestStatus(self, id);
  }
}

}  // namespace promotion_model
