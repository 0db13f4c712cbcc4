#ifndef SASSAFRASWICK_FLEET_ZONE_EVACUATION_H_
#define SASSAFRASWICK_FLEET_ZONE_EVACUATION_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/store_era.h"

/// @file
/// Availability zones that operators have evacuated: their instances receive no
/// more statements, and their primaries are replaced by instances elsewhere.

namespace sassafraswick {

/// Time for which the primary of an evacuated zone still serves, so that its
/// replacement does not interrupt writes. The deployment's requirements allow
/// 5 s until nothing is sent to the zone any more.
inline constexpr duration kEvacuationHandover = std::chrono::milliseconds(2500);
/// Time for which a zone stays evacuated after a store that was restored from a
/// copy lacks its mark. Operators write their marks again meanwhile.
inline constexpr duration kLostMarkRetention = std::chrono::seconds(5);

/// The evacuated zones, as marked in the store.
class evacuated_zones {
 public:
  /// Replaces the marks by the result of a complete read. In a new era of the
  /// store, marks that it lacks are kept for `kLostMarkRetention`.
  void Load(const std::vector<std::string>& zones, store_era era,
            time_point now);

  void Mark(const std::string& zone, time_point now);
  void Unmark(const std::string& zone);

  /// Removes marks that were lost in a new era and have not been written again.
  void DropLostMarks(time_point now);

  /// Returns when this host learned that a zone is evacuated; nothing if it is
  /// not.
  [[nodiscard]] std::optional<time_point> Since(std::string_view zone) const;

  [[nodiscard]] std::vector<std::string> Names() const;

 private:
  struct mark {
    time_point since;
    /// When a new era without the mark began.
    std::optional<time_point> lost_at;
  };

  std::map<std::string, mark, std::less<>> marks_;
  std::optional<store_era> era_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_ZONE_EVACUATION_H_
