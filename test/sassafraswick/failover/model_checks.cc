#include <algorithm>
#include <optional>
#include <unordered_set>
#include <vector>

#include "test/sassafraswick/failover/model.h"

namespace promotion_model {

const instance* model::FindHolderOf(std::uint64_t number) const {
  for (const instance& each : instances_) {
    const bool counts = each.running ? each.was_listed : !each.is_gone;
    if (counts && std::any_of(each.log.begin(), each.log.end(),
                              [number](const log_entry& entry) {
                                return entry.number == number;
                              })) {
      return &each;
    }
  }
  return nullptr;
}

void model::CheckPromoted(const instance& chosen) {
  std::unordered_set<std::uint64_t> contained;
  for (const log_entry& each : chosen.log) {
    contained.insert(each.number);
  }
  std::vector<std::uint64_t> lost;
  bool is_reported = false;
  for (const std::uint64_t number : acknowledged_) {
    if (contained.contains(number)) {
      continue;
    }
    const instance* const holder = FindHolderOf(number);
    if (holder == nullptr) {
      // "A replica that is leaving counts toward sync_replicas until it is
      // gone, and its log is gone with it." "An instance may start again under
      // the id that it had. It then holds and knows nothing of before."
      lost.push_back(number);
    } else if (!is_reported) {
      is_reported = true;
      ReportViolation("acknowledged write " + std::to_string(number) +
                      " is not in " + chosen.id + ", which was promoted; " +
                      holder->id + " has it and " +
                      (holder->running ? "runs" : "is to return"));
    }
  }
  for (const std::uint64_t number : lost) {
    acknowledged_.erase(number);
    acknowledged_at_.erase(number);
  }
  report_.writes_lost += lost.size();
  if (!lost.empty()) {
    Trace(std::to_string(lost.size()) +
          " writes are lost with their processes");
  }
}

}  // namespace promotion_model
