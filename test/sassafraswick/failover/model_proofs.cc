#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

void model::PrepareCommit(host& self) {
  const bool is_recent =
      self.replication.has_value() && now_ - self.replication->requested_at <
                                          sassafraswick::kCommitProofRenewal;
  if (!is_recent) {
    RequestReplicationProof(self);
  }
}

void model::RequestProof(host& self) {
  self.wants_leadership = true;
  RequestReplicationProof(self);
}

void model::RequestReplicationProof(host& self) {
  if (std::exchange(self.proof_pending, true)) {
    return;
  }
  const time_point requested_at = now_;
  const bool wants_leadership = std::exchange(self.wants_leadership, false);
  const std::string primary = KnownPrimary(self);
  if (primary.empty()) {
    EndProof(self, false);
    return;
  }
  if (!wants_leadership) {
    const term_number term = self.view.term;
    CheckReplication(
        self, primary, term, [this, &self, term, requested_at](bool holds) {
          if (holds) {
            RecordReplication(self.replication, {term, requested_at});
          }
          EndProof(self, holds);
        });
    return;
  }
  RequestStatus(
      self, primary,
      [this, &self, primary,
       requested_at](const std::optional<status_response>& response) {
        const bool is_primary =
            response.has_value() && response->status.is_primary;
        const term_number term = is_primary ? response->status.term : 0;
        CheckReplication(
            self, primary, term,
            [this, &self, term, is_primary, requested_at](bool holds) {
              if (is_primary && holds) {
                RecordProof(self.view, term, requested_at);
                RecordReplication(self.replication, {term, requested_at});
              }
              EndProof(self, holds);
            });
      });
}

void model::EndProof(host& self, bool replicates) {
  if (replicates) {
    self.proof_pending = false;
  } else {
    AtHost(self, kProofRetryDelay, [&self] { self.proof_pending = false; });
  }
}

std::string model::KnownPrimary(const host& self) {
  if (!self.view.primary.empty()) {
    return self.targets.contains(self.view.primary) ? self.view.primary : "";
  }
  for (const std::pair<const std::string, known_target>& each : self.targets) {
    if (each.second.health.listed && each.second.health.claims_primary) {
      return each.first;
    }
  }
  return "";
}

void model::CheckReplication(host& self, const std::string& primary,
                             term_number term,
                             std::function<void(bool)> on_result) {
  const std::shared_ptr<replication_check> check =
      std::make_shared<replication_check>();
  check->term = term;
  check->on_result = std::move(on_result);
  for (const std::pair<const std::string, known_target>& each : self.targets) {
    const sassafraswick::instance_health& health = each.second.health;
    if (each.first != primary && health.listed && !health.replaced) {
      check->others.emplace_back(each.first, health.seen_since);
    }
  }
  std::stable_partition(
      check->others.begin(), check->others.end(),
      [this, &self](const sassafraswick::process_key& process) {
        const std::optional<instance_status>& status =
            self.targets[process.first].health.status;
        return status.has_value() &&
               IsWitnessBy(self, process.first, *status, now_);
      });
  AskNext(self, check, 0);
}

bool model::IsWitnessBy(const host& self, const std::string& id,
                        const instance_status& status,
                        time_point requested_at) const {
  const auto found = self.targets.find(id);
  return found != self.targets.end() &&
         IsWitness(self.replication,
                   sassafraswick::RunningSince(found->second.health.seen_since,
                                               status.contact_since,
                                               self.list_current_at),
                   requested_at);
}

void model::AskNext(host& self, const std::shared_ptr<replication_check>& check,
                    std::size_t index) {
  if (index >= check->others.size()) {
    check->on_result(check->all_replicate);
    return;
  }
  const std::string id = check->others[index].first;
  const auto found = self.targets.find(id);
  const time_point seen_since = found != self.targets.end()
                                    ? found->second.health.seen_since
                                    : check->others[index].second;
  RequestStatus(
      self, id,
      [this, &self, check, index, id, seen_since,
       requested_at = now_](const std::optional<status_response>& response) {
        const auto known = self.targets.find(id);
        const bool replicates =
            response.has_value() && response->status.term == check->term &&
            response->status.paused_term == 0 && known != self.targets.end() &&
            known->second.health.seen_since == seen_since;
        if (replicates &&
            IsWitnessBy(self, id, response->status, requested_at)) {
          check->on_result(true);
          return;
        }
        check->all_replicate = check->all_replicate && replicates;
        AskNext(self, check, index + 1);
      });
}

}  // namespace promotion_model
