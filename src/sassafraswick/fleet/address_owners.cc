#include "sassafraswick/fleet/address_owners.h"

namespace sassafraswick {

std::optional<std::string> address_owners::Record(const target_record& record) {
  const std::string address = FormatEndpoint(record.address);
  const auto known = addresses_.find(record.id);
  if (known != addresses_.end() && known->second != address) {
    Remove(record.id);
  }
  addresses_[record.id] = address;
  const auto found = owners_.find(address);
  if (found == owners_.end() || found->second.id == record.id) {
    owners_[address] = {record.id, record.start_id};
    return std::nullopt;
  }
  const bool are_known = found->second.start_id != 0 && record.start_id != 0;
  if (!are_known || record.start_id <= found->second.start_id) {
    return std::nullopt;
  }
  const std::string ended = found->second.id;
  found->second = {record.id, record.start_id};
  return ended;
}

void address_owners::Remove(const std::string& id) {
  const auto known = addresses_.find(id);
  if (known == addresses_.end()) {
    return;
  }
  const auto found = owners_.find(known->second);
  if (found != owners_.end() && found->second.id == id) {
    owners_.erase(found);
  }
  addresses_.erase(known);
}

}  // namespace sassafraswick
