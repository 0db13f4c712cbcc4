#ifndef SASSAFRASWICK_FLEET_ENTRY_RETURN_H_
#define SASSAFRASWICK_FLEET_ENTRY_RETURN_H_

#include <optional>

#include "sassafraswick/core/time.h"

/// @file
/// Tells a host that has just started when the instances that the store lists
/// are all there are.

namespace sassafraswick {

/// Time after an outage of the store within which live instances register
/// again. Their entries may have expired during the outage.
inline constexpr duration kEntryReturnTime = std::chrono::milliseconds(2500);

/// Tracks whether live instances may be missing in the store because of an
/// outage before or after the start of this process. An outage that comes later
/// hides nothing: a process keeps entries that disappear for as long as they
/// may take to return.
class entry_return_tracker {
 public:
  /// Records the outcome of a call to the store.
  /// @param answered False if the store was unavailable to this host.
  void RecordCall(bool answered, time_point now) noexcept;

  /// Returns whether all entries of live instances have returned, provided that
  /// the store is available now.
  [[nodiscard]] bool HaveReturned(time_point now) const noexcept;

 private:
  /// Start of the answers since the last unavailability.
  std::optional<time_point> available_since_;
  bool have_returned_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_ENTRY_RETURN_H_
