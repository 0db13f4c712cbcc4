#ifndef SASSAFRASWICK_FLEET_STORE_ERA_H_
#define SASSAFRASWICK_FLEET_STORE_ERA_H_

#include <compare>
#include <cstdint>
#include <string>

#include "sassafraswick/core/time.h"

/// @file
/// Eras of the shared store. The store begins a new era when it is restored
/// from a copy: the changes that the copy lacks are gone, revisions and lease
/// numbers are given out again, and only the era tells them apart.

namespace sassafraswick {

using store_era = std::uint64_t;

/// Revision of the store. Any revision of a later era is newer.
struct store_revision {
  store_era era = 0;
  std::int64_t number = 0;

  auto operator<=>(const store_revision&) const = default;
};

/// Returns whether a revision was read from the store.
[[nodiscard]] constexpr bool IsKnown(const store_revision& revision) noexcept {
  return revision.number != 0;
}

/// Returns a number that rises with the revision, also over eras.
[[nodiscard]] constexpr std::int64_t ToFencingToken(
    const store_revision& revision) noexcept {
  // Tokens stay exact as double up to 8,192 eras of 10^12 revisions.
  constexpr int kNumberBits = 40;
  return static_cast<std::int64_t>(revision.era << kNumberBits) +
         revision.number;
}

/// Formats a revision for logs, as `ERA.NUMBER`.
[[nodiscard]] std::string FormatRevision(const store_revision& revision);

/// The newest era that a host knows of.
class store_era_tracker {
 public:
  /// @param is_first_start No process of this fleet ran before, so that none
  /// can hold anything of an earlier era.
  explicit store_era_tracker(bool is_first_start) noexcept
      : is_first_start_(is_first_start) {}

  /// Records the era of a response of the store, or of a peer's message.
  /// @return True if a new era began since the last call; false for the first
  /// era that this process sees.
  bool Observe(store_era era, time_point now) noexcept;

  [[nodiscard]] store_era Current() const noexcept { return current_; }

  /// Returns whether a lease that some host renewed in an earlier era has ended
  /// by its holder's clock. Until then, its key must not be claimed: the copy
  /// may lack it.
  /// @param ttl Time to live of such a lease.
  [[nodiscard]] bool HaveEarlierLeasesEnded(duration ttl,
                                            time_point now) const noexcept;

  /// Returns whether the store may have lost changes that it acknowledged at
  /// some time within a span before `now`: it returned from a copy since.
  [[nodiscard]] bool MayHaveLostChanges(duration span,
                                        time_point now) const noexcept;

 private:
  bool is_first_start_;
  bool is_seen_ = false;
  store_era current_ = 0;
  time_point seen_at_;
};

/// Returns the time over which the hosts of a fleet spread their registrations
/// in a new era.
[[nodiscard]] duration ReregistrationSpread(std::size_t hosts) noexcept;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_STORE_ERA_H_
