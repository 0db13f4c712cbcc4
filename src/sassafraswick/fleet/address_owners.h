#ifndef SASSAFRASWICK_FLEET_ADDRESS_OWNERS_H_
#define SASSAFRASWICK_FLEET_ADDRESS_OWNERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sassafraswick/config/catalog.h"

/// @file
/// Tracks which process listens at each target's address. A process that
/// started there later shows that an earlier one has ended, before the earlier
/// one's entry disappears from the store.

namespace sassafraswick {

class address_owners {
 public:
  /// Records the entry of a target.
  /// @return The target whose process has ended, since that of the entry
  /// started later at its address; nothing if there is none, or if an entry
  /// does not tell when its process started.
  [[nodiscard]] std::optional<std::string> Record(const target_record& record);

  /// Removes a target that has left.
  void Remove(const std::string& id);

 private:
  struct owner {
    std::string id;
    std::int64_t start_id = 0;
  };

  /// Newest process by address.
  std::map<std::string, owner> owners_;
  /// Address by target.
  std::map<std::string, std::string> addresses_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_ADDRESS_OWNERS_H_
