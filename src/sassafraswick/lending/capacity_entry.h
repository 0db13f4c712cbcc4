#ifndef SASSAFRASWICK_LENDING_CAPACITY_ENTRY_H_
#define SASSAFRASWICK_LENDING_CAPACITY_ENTRY_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Text in which a host registers what it can lend: fields `NAME=VALUE`
/// separated by spaces. Other builds may write further fields.

namespace sassafraswick {

struct host_capacity {
  /// Processor capacity in cores.
  double cores = 0.0;
  std::string availability_zone;

  bool operator==(const host_capacity&) const = default;
};

[[nodiscard]] std::string FormatCapacityEntry(const host_capacity& capacity);

/// Parses an entry and ignores unknown fields.
/// @return `kProtocol` if the capacity is missing or unusable, or the zone is
/// missing.
[[nodiscard]] result<host_capacity> ParseCapacityEntry(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_CAPACITY_ENTRY_H_
