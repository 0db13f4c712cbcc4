#include "sassafraswick/fleet/store_era.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Registration takes two writes, so that a fleet makes 200 writes a second.
constexpr duration kRegistrationInterval = std::chrono::milliseconds(10);
/// Era of a store that was never restored from a copy.
constexpr store_era kFirstEra = 1;
constexpr duration kMaxReregistrationSpread = std::chrono::seconds(10);

}  // namespace

std::string FormatRevision(const store_revision& revision) {
  return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

bool store_era_tracker::Observe(store_era era, time_point now) noexcept {
  if (is_seen_ && era <= current_) {
    return false;
  }
  const bool is_new = is_seen_;
  is_first_start_ = is_first_start_ && !is_new;
  is_seen_ = true;
  current_ = era;
  seen_at_ = now;
  return is_new;
}

bool store_era_tracker::HaveEarlierLeasesEnded(duration ttl,
                                               time_point now) const noexcept {
  return is_seen_ && (is_first_start_ || now - seen_at_ >= ttl);
}

bool store_era_tracker::MayHaveLostChanges(duration span,
                                           time_point now) const noexcept {
  return current_ > kFirstEra && !is_first_start_ && now - seen_at_ < span;
}

duration ReregistrationSpread(std::size_t hosts) noexcept {
  return std::min(kMaxReregistrationSpread,
                  kRegistrationInterval * static_cast<std::int64_t>(hosts));
}

}  // namespace sassafraswick
