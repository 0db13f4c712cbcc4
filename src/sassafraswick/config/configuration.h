#ifndef SASSAFRASWICK_CONFIG_CONFIGURATION_H_
#define SASSAFRASWICK_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/config/key.h"
#include "sassafraswick/config/tables.h"
#include "sassafraswick/core/error.h"

/// @file
/// One accepted version of everything that operators decide.

namespace sassafraswick {

/// Tables and keys of one version, as stored in one record.
struct configuration {
  std::uint64_t version = 0;
  /// Random identifier of the change, by which a lost answer is resolved.
  std::string change_id;
  /// What the change did, for the history.
  std::string summary;
  /// The operators' text that `tables` was parsed from.
  std::string tables_text;
  table_set tables;
  std::map<std::string, key_record, std::less<>> keys;
};

/// Encodes a version as JSON.
[[nodiscard]] std::string SerializeConfiguration(const configuration& version);

/// Decodes and checks a version.
[[nodiscard]] result<configuration> ParseConfiguration(std::string_view json);

/// Finds the key that a caller shows.
/// @return The key's id, or nothing if it is not a valid key of the
/// organisation.
[[nodiscard]] std::optional<std::string> Authenticate(
    const configuration& version, std::string_view organisation,
    std::string_view key);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_CONFIGURATION_H_
