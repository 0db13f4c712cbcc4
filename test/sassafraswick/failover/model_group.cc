#include <algorithm>
#include <memory>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

status_response model::MakeResponse(const instance& each) {
  return {{each.term, each.is_primary, each.LogEnd(), each.paused_term},
          {each.term, static_cast<sassafraswick::log_position>(each.applied)}};
}

void model::ApplyLog(instance& each) {
  if (each.running) {
    each.applied = each.log.size();
  }
  After(each.is_primary ? milliseconds(1)
                        : milliseconds(5) + RandomDuration(max_apply_delay_),
        [this, &each] { ApplyLog(each); });
}

void model::Write(instance& primary,
                  std::function<void(log_point)> acknowledge) {
  primary.log.push_back({primary.term, ++last_number_});
  primary.applied = primary.log.size();
  pending_writes_.push_back({primary.log.back(), primary.log.size(),
                             primary.term, primary.incarnation,
                             std::move(acknowledge)});
  Replicate(primary);
}

void model::Replicate(instance& primary) {
  for (instance& each : instances_) {
    if (&each == &primary || !each.running) {
      continue;
    }
    const std::vector<log_entry> log = primary.log;
    const term_number term = primary.term;
    After(MessageDelay(), [this, &primary, &each, log, term] {
      const bool receives = each.running && each.paused_term == 0 &&
                            !each.is_primary && each.term == term &&
                            !not_receiving_.contains(each.id) &&
                            !IsPartitioned(primary.id, each.id);
      if (!receives) {
        return;
      }
      if (log.size() > each.log.size()) {
        each.log = log;
      }
      After(MessageDelay(), [this, &primary, term, end = log.size()] {
        ConfirmReplication(primary, term, end);
      });
    });
  }
}

void model::ConfirmReplication(instance& primary, term_number term,
                               std::size_t end) {
  std::vector<pending_write> waiting;
  waiting.swap(pending_writes_);
  for (pending_write& each : waiting) {
    const bool confirmed = primary.running && primary.is_primary &&
                           primary.term == term && each.term == term &&
                           each.incarnation == primary.incarnation &&
                           each.end <= end;
    if (!confirmed) {
      if (each.term == term) {
        pending_writes_.push_back(std::move(each));
      }
      continue;
    }
    // The instance itself now reports the write as committed, even if it has
    // been replaced.
    if (primary.term < newest_term_) {
      commits_after_replacement_.insert(each.written.number);
    }
    each.acknowledge(primary.LogEnd());
  }
}

void model::CompletePromotion(instance& chosen) {
  if (!chosen.running || chosen.is_primary) {
    return;
  }
  const term_number term = ++newest_term_;
  Trace("promoted " + chosen.id + " to term " + std::to_string(term));
  ++report_.promotions;
  CheckPromoted(chosen);
  chosen.is_primary = true;
  chosen.term = term;
  chosen.paused_term = 0;
  Register(chosen);
  for (instance& each : instances_) {
    if (&each != &chosen && !each.is_gone) {
      JoinNewPrimary(each, chosen);
    }
  }
}

void model::JoinNewPrimary(instance& each, instance& primary) {
  const duration wait =
      each.is_primary ? kOldPrimaryRejoinDelay : MessageDelay();
  After(wait, [this, &each, &primary] {
    if (!primary.running || !primary.is_primary || each.term >= primary.term ||
        each.is_gone) {
      return;
    }
    // An instance that paused replication for a later term ignores this one.
    const bool is_paused = each.paused_term > primary.term;
    if (!each.running || is_paused || IsPartitioned(each.id, primary.id)) {
      JoinNewPrimary(each, primary);
      return;
    }
    const bool was_primary = std::exchange(each.is_primary, false);
    each.term = primary.term;
    each.paused_term = 0;
    each.log = primary.log;
    each.applied = std::min(each.applied, each.log.size());
    if (was_primary) {
      Register(each);
    }
  });
}

void model::ReplicateAll() {
  for (instance& each : instances_) {
    if (each.is_primary && each.running) {
      Replicate(each);
    }
  }
}

}  // namespace promotion_model
