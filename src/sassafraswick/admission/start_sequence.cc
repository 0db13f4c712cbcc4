#include "sassafraswick/admission/start_sequence.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sassafraswick {

void ageing_debt::RecordStart(duration work, bool overtook) noexcept {
  if (overtook) {
    owed += work;
  } else {
    owed = std::max(owed - work / kShareDivisor, duration::zero());
  }
}

start_sequence::start_sequence(const std::vector<waiting_statement>& waiting,
                               const priority_shares& shares, ageing_debt debt)
    : waiting_(waiting), debt_(debt), entries_(waiting.size()) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].index = i;
  }
  AssignTags(shares);
  std::sort(entries_.begin(), entries_.end(),
            [this](const ordered_entry& left, const ordered_entry& right) {
              return Precedes(left, right);
            });
  by_age_.resize(entries_.size());
  std::iota(by_age_.begin(), by_age_.end(), std::size_t{0});
  std::sort(by_age_.begin(), by_age_.end(),
            [this](std::size_t left, std::size_t right) {
              return waiting_[entries_[left].index].aged_at <
                     waiting_[entries_[right].index].aged_at;
            });
}

void start_sequence::AssignTags(const priority_shares& shares) {
  std::sort(entries_.begin(), entries_.end(),
            [this](const ordered_entry& left, const ordered_entry& right) {
              const admission_request& one = waiting_[left.index].request;
              const admission_request& other = waiting_[right.index].request;
              return std::tie(one.priority, one.organisation, one.latest_start,
                              one.id) < std::tie(other.priority,
                                                 other.organisation,
                                                 other.latest_start, other.id);
            });
  const admission_request* previous = nullptr;
  std::uint64_t next_tag = 0;
  std::uint64_t virtual_time = 0;
  for (ordered_entry& entry : entries_) {
    const admission_request& request = waiting_[entry.index].request;
    const bool first_of_organisation =
        previous == nullptr || previous->priority != request.priority ||
        previous->organisation != request.organisation;
    if (first_of_organisation) {
      const auto share = shares.find(request.priority);
      const bool known = share != shares.end();
      next_tag =
          known ? share->second.organisations.StartTime(request.organisation)
                : 0;
      virtual_time = known ? share->second.organisations.VirtualTime() : 0;
    }
    entry.start_tag = next_tag;
    entry.lead = duration(static_cast<duration::rep>(next_tag - virtual_time));
    next_tag += static_cast<std::uint64_t>(request.expected_work.count());
    previous = &request;
  }
}

bool start_sequence::Precedes(const ordered_entry& left,
                              const ordered_entry& right) const {
  const admission_request& one = waiting_[left.index].request;
  const admission_request& other = waiting_[right.index].request;
  if (one.in_transaction != other.in_transaction) {
    return one.in_transaction;
  }
  if (one.in_transaction) {
    return std::tie(one.priority, one.latest_start, one.id) <
           std::tie(other.priority, other.latest_start, other.id);
  }
  return std::tie(one.priority, left.start_tag, one.latest_start, one.id) <
         std::tie(other.priority, right.start_tag, other.latest_start,
                  other.id);
}

start_sequence::ordered_entry* start_sequence::FindAged(
    const ordered_entry& front, time_point at) {
  const admission_request& first = waiting_[front.index].request;
  if (first.in_transaction || !debt_.MayOvertake()) {
    return nullptr;
  }
  for (const std::size_t position : by_age_) {
    ordered_entry& entry = entries_[position];
    const waiting_statement& candidate = waiting_[entry.index];
    if (candidate.aged_at > at) {
      return nullptr;
    }
    if (!entry.taken && candidate.request.priority >= first.priority &&
        &entry != &front) {
      return &entry;
    }
  }
  return nullptr;
}

std::optional<next_start> start_sequence::Take(time_point at) {
  while (front_ < entries_.size() && entries_[front_].taken) {
    ++front_;
  }
  if (front_ == entries_.size()) {
    return std::nullopt;
  }
  ordered_entry* const aged = FindAged(entries_[front_], at);
  ordered_entry& chosen = aged != nullptr ? *aged : entries_[front_];
  chosen.taken = true;
  const admission_request& request = waiting_[chosen.index].request;
  const bool overtakes = aged != nullptr;
  debt_.RecordStart(request.expected_work, overtakes);
  return next_start{chosen.index, overtakes, chosen.lead};
}

}  // namespace sassafraswick
