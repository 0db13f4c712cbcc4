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
/// A version of the fleet's configuration: the operators' tables and the keys.

namespace sassafraswick {

/// Tables and keys of one version, which are stored in a single record.
struct configuration {
  std::uint64_t version = 0;
  /// Random identifier of the change, which tells whether it was applied when
  /// the store's response was lost.
  std::string change_id;
  /// Description of the change, for the history.
  std::string summary;
  /// INI text that `tables` was parsed from.
  std::string tables_text;
  table_set tables;
  std::map<std::string, key_record, std::less<>> keys;
};

/// Encodes a configuration as JSON.
[[nodiscard]] std::string SerializeConfiguration(const configuration& value);

/// Decodes and validates a configuration.
[[nodiscard]] result<configuration> ParseConfiguration(std::string_view json);

/// Verifies the key that a caller presents.
/// @return The key's id, or nothing if it is not a valid key of the
/// organisation.
[[nodiscard]] std::optional<std::string> Authenticate(
    const configuration& current, std::string_view organisation,
    std::string_view key);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_CONFIGURATION_H_
