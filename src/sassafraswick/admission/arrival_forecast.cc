#include "sassafraswick/admission/arrival_forecast.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Smallest fraction of the slots that more urgent statements leave: what
/// ageing ones may take.
constexpr double kMinSlotFraction = 1.0 / ageing_debt::kShareDivisor;
/// Rounds in which the wait is extended by the work that arrives during the
/// extension.
constexpr int kRounds = 3;

}  // namespace

arrival_forecast::arrival_forecast(const priority_shares& shares,
                                   std::uint32_t slots, time_point now)
    : slots_(slots) {
  for (const std::pair<const std::uint32_t, priority_share>& entry : shares) {
    expected_load& load = loads_[entry.first];
    load.urgent_slots = total_slots_;
    for (const std::pair<const std::string, work_rate>& organisation :
         entry.second.by_organisation) {
      const double occupied = organisation.second.Slots(now);
      load.by_organisation.emplace(organisation.first, occupied);
      total_slots_ += occupied;
    }
  }
}

duration arrival_forecast::Extend(duration wait, const next_start& next,
                                  const admission_request& request) const {
  if (request.in_transaction || wait <= duration::zero()) {
    return wait;
  }
  const auto less_urgent = loads_.lower_bound(request.priority);
  const double urgent_slots = less_urgent == loads_.end()
                                  ? total_slots_
                                  : less_urgent->second.urgent_slots;
  const double left =
      std::max(slots_ - urgent_slots, slots_ * kMinSlotFraction);
  const double after_urgent = static_cast<double>(wait.count()) * slots_ / left;
  double extended = after_urgent;
  const bool has_peers =
      less_urgent != loads_.end() && less_urgent->first == request.priority;
  for (int round = 0; has_peers && round < kRounds; ++round) {
    double ahead = 0.0;
    for (const std::pair<const std::string, double>& peer :
         less_urgent->second.by_organisation) {
      if (peer.first != request.organisation) {
        ahead += std::min(peer.second * extended,
                          static_cast<double>(next.lead.count()));
      }
    }
    extended = after_urgent + ahead / left;
  }
  return duration(static_cast<duration::rep>(extended));
}

}  // namespace sassafraswick
