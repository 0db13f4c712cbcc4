#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

void model::RunOperation(host& self) {
  if (!self.view.primary.empty()) {
    const int kind = std::uniform_int_distribution<int>(0, 2)(random_);
    if (kind == 0) {
      SendWrite(self);
    } else if (kind == 1) {
      SendPrimaryRead(self);
    } else {
      SendBoundedRead(self);
    }
  }
  AtHost(self, RandomDuration(kMeanOperationInterval * 2),
         [this, &self] { RunOperation(self); });
}

void model::SendWrite(host& self) {
  const time_point requested_at = now_;
  const std::string id = self.view.primary;
  std::optional<log_point> known_before;
  if (!self.view.positions.empty()) {
    known_before = self.view.positions.back().position;
  }
  PrepareCommit(self);
  After(MessageDelay(), [this, &self, id, known_before, requested_at] {
    instance& to = Find(id);
    if (!to.running || !to.is_primary || unresponsive_.contains(id) ||
        IsPartitioned(self.name, id)) {
      return;
    }
    const held_acknowledgement held{id, last_number_ + 1, known_before};
    Write(to, [this, &self, id, held, requested_at](log_point end) {
      if (unresponsive_.contains(id) || IsPartitioned(self.name, id)) {
        return;
      }
      AtHost(self, MessageDelay(), [this, &self, held, requested_at, end] {
        Acknowledge(self, held, end, requested_at);
      });
    });
  });
}

void model::Acknowledge(host& self, held_acknowledgement held, log_point end,
                        time_point requested_at) {
  const status_response response{{}, end};
  RecordResponse(self, held.id, response, requested_at);
  RecordPrimary(self.view, held.id, end.term);
  const auto target = self.targets.find(held.id);
  if (target != self.targets.end()) {
    target->second.RecordLeading(end.term, requested_at);
  }
  RecordTerm(self.replication, self.view.term);
  const bool proves = IsCommitProved(self.replication, end.term, now_) ||
                      options_.bug == injected_bug::kPassOnUnproved;
  if (held.id == self.view.primary && proves) {
    RecordProof(self.view, end.term, requested_at);
    RecordReplication(self.replication, {end.term, requested_at});
  }
  held.term = end.term;
  held.acknowledged_at = now_;
  held.deadline = requested_at + kStatementTimeout;
  PassOn(self, held);
}

void model::PassOn(host& self, const held_acknowledgement& held) {
  RecordTerm(self.replication, self.view.term);
  const bool is_proved =
      IsCommitProved(self.replication, held.term, held.acknowledged_at) ||
      options_.bug == injected_bug::kPassOnUnproved;
  if (is_proved) {
    RecordAcknowledged(self, held);
    return;
  }
  const bool is_replaced =
      self.replication.has_value() && self.replication->term > held.term;
  if (is_replaced || now_ >= held.deadline) {
    ++report_.writes_in_doubt;
    return;
  }
  RequestReplicationProof(self);
  AtHost(self, milliseconds(5), [this, &self, held] { PassOn(self, held); });
}

void model::RecordAcknowledged(host& self, const held_acknowledgement& held) {
  const std::uint64_t number = held.number;
  if (commits_after_replacement_.contains(number)) {
    ReportViolation("write " + std::to_string(number) + " was committed at " +
                    held.id + " after it was replaced, and acknowledged by " +
                    self.name);
  }
  const std::optional<log_point> lowest =
      sassafraswick::LowestCommitPosition(held.known_before, held.term);
  if (lowest.has_value() && IsBehind(self.acknowledged, *lowest)) {
    self.acknowledged = *lowest;
  }
  acknowledged_.insert(number);
  self.last_write_at = now_;
  acknowledged_at_[number] = now_;
  ++report_.writes_acknowledged;
}

std::vector<std::uint64_t> model::RequiredWrites(time_point moment) const {
  std::vector<std::uint64_t> required;
  // Newest first. Older writes are covered by the check at each promotion.
  for (auto each = acknowledged_at_.rbegin();
       each != acknowledged_at_.rend() && required.size() < kMaxWritesChecked;
       ++each) {
    if (each->second < moment) {
      required.push_back(each->first);
    }
  }
  return required;
}

std::optional<std::uint64_t> model::FindMissingWrite(
    const instance& source, const std::vector<std::uint64_t>& required) {
  ++check_stamp_;
  entry_stamps_.resize(last_number_ + 1);
  for (std::size_t i =
           source.applied - std::min(source.applied, kMaxLogEntriesChecked);
       i < source.applied; ++i) {
    entry_stamps_[source.log[i].number] = check_stamp_;
  }
  for (const std::uint64_t number : required) {
    if (entry_stamps_[number] != check_stamp_) {
      return number;
    }
  }
  return std::nullopt;
}

void model::SendPrimaryRead(host& self) {
  const time_point requested_at = now_;
  const std::string id = self.view.primary;
  const std::vector<std::uint64_t> required = RequiredWrites(now_);
  const std::shared_ptr<std::optional<std::uint64_t>> missing =
      std::make_shared<std::optional<std::uint64_t>>();
  SendRequest(
      self, id,
      [this, missing, required](instance& to) {
        *missing = FindMissingWrite(to, required);
      },
      [this, &self, id, requested_at,
       missing](std::optional<status_response> response) {
        if (response.has_value()) {
          RecordResponse(self, id, *response, requested_at);
          CompleteRead(self, id, response->position.term, requested_at,
                       *missing);
        }
      });
}

void model::CompleteRead(host& self, const std::string& id, term_number term,
                         time_point requested_at,
                         const std::optional<std::uint64_t>& missing) {
  const bool unchanged = self.view.term == term && self.view.primary == id;
  const bool lease_valid = IsPrimaryLeaseValid(self.view, id, term, now_);
  if (options_.bug != injected_bug::kIgnorePrimaryLease && !lease_valid) {
    if (unchanged && now_ - requested_at < kStatementTimeout) {
      RequestProof(self);
      AtHost(self, milliseconds(5),
             [this, &self, id, term, requested_at, missing] {
               CompleteRead(self, id, term, requested_at, missing);
             });
    }
    return;
  }
  ++report_.reads_answered;
  if (missing.has_value()) {
    ReportViolation("read at " + id + " by " + self.name + " lacks write " +
                    std::to_string(*missing));
  }
}

void model::SendBoundedRead(host& self) {
  const std::optional<log_point> required_position =
      RequiredPosition(self.view, now_ - kMaxStaleness, std::nullopt);
  if (!required_position.has_value()) {
    RequestProof(self);
    return;
  }
  const std::vector<std::uint64_t> required =
      RequiredWrites(now_ - kMaxStaleness);
  if (self.targets.empty()) {
    return;
  }
  const std::string id =
      std::next(self.targets.begin(),
                static_cast<std::ptrdiff_t>(random_() % self.targets.size()))
          ->first;
  const time_point requested_at = now_;
  const std::shared_ptr<bool> is_behind = std::make_shared<bool>(false);
  const std::shared_ptr<std::optional<std::uint64_t>> missing =
      std::make_shared<std::optional<std::uint64_t>>();
  SendRequest(
      self, id,
      [this, required_position, is_behind, missing, required](instance& to) {
        const log_point end = MakeResponse(to).position;
        // Positions continue to increase across terms. A later term alone
        // does not show that the instance has reached the required position.
        *is_behind = end.term < required_position->term ||
                     end.position < required_position->position;
        *missing = FindMissingWrite(to, required);
      },
      [this, &self, id, requested_at, is_behind,
       missing](std::optional<status_response> response) {
        if (!response.has_value()) {
          return;
        }
        RecordResponse(self, id, *response, requested_at);
        if (*is_behind) {
          return;
        }
        ++report_.reads_answered;
        if (missing->has_value()) {
          ReportViolation("bounded read at " + id + " by " + self.name +
                          " lacks write " + std::to_string(**missing));
        }
      });
}

}  // namespace promotion_model
