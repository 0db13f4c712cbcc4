#ifndef SASSAFRASWICK_LIMITS_FAIR_SCHEDULER_H_
#define SASSAFRASWICK_LIMITS_FAIR_SCHEDULER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// Start-time fair queueing (Goyal, Vin and Cheng, 1996) of organisations.

namespace sassafraswick {

/// Tracks the virtual service times of organisations that share a resource.
class fair_scheduler {
 public:
  /// Sorts organisations by the virtual start time of their next request, so
  /// that the one with the least service for its weight comes first.
  /// @param waiting Names of organisations with a waiting request.
  [[nodiscard]] std::vector<std::string> ServiceOrder(
      std::vector<std::string> waiting) const {
    std::stable_sort(waiting.begin(), waiting.end(),
                     [this](const std::string& left, const std::string& right) {
                       return StartTime(left) < StartTime(right);
                     });
    return waiting;
  }

  /// Charges one request to an organisation.
  /// @param weight Relative share of the organisation, at least 1.
  void Charge(const std::string& organisation, std::uint32_t weight) {
    ChargeWork(organisation, kVirtualTimeUnit / weight);
  }

  /// Charges the start of work to an organisation.
  /// @param work Expected amount, in a unit that all calls share.
  void ChargeWork(const std::string& organisation, std::uint64_t work) {
    const std::uint64_t start = StartTime(organisation);
    virtual_time_ = std::max(virtual_time_, start);
    finish_times_[organisation] = start + work;
    if (finish_times_.size() > kIdlePurgeThreshold) {
      PurgeIdle();
    }
  }

  /// Corrects the charge for work that has ended.
  /// @param difference Actual minus expected amount.
  void CorrectWork(const std::string& organisation, std::int64_t difference) {
    const auto found = finish_times_.find(organisation);
    if (found != finish_times_.end()) {
      const std::int64_t corrected =
          static_cast<std::int64_t>(found->second) + difference;
      found->second =
          static_cast<std::uint64_t>(std::max<std::int64_t>(corrected, 0));
    }
  }

  /// Virtual start time of the organisation's next request. An idle
  /// organisation resumes at the current virtual time, so it accumulates no
  /// credit.
  [[nodiscard]] std::uint64_t StartTime(const std::string& organisation) const {
    const auto found = finish_times_.find(organisation);
    return found == finish_times_.end()
               ? virtual_time_
               : std::max(virtual_time_, found->second);
  }

  /// Virtual start time of the request that was started last.
  [[nodiscard]] std::uint64_t VirtualTime() const noexcept {
    return virtual_time_;
  }

 private:
  static constexpr std::uint64_t kVirtualTimeUnit = 1'000'000;
  static constexpr std::size_t kIdlePurgeThreshold = 10'000;

  void PurgeIdle() {
    std::erase_if(
        finish_times_,
        [this](const std::pair<const std::string, std::uint64_t>& entry) {
          return entry.second <= virtual_time_;
        });
  }

  std::map<std::string, std::uint64_t> finish_times_;
  std::uint64_t virtual_time_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_FAIR_SCHEDULER_H_
