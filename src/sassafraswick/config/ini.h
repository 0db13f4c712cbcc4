#ifndef SASSAFRASWICK_CONFIG_INI_H_
#define SASSAFRASWICK_CONFIG_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"

/// @file
/// Parsing of INI text and of values in it.

namespace sassafraswick {

/// One `key = value` line.
struct ini_entry {
  std::string key;
  std::string value;
};

/// One `[section]`, in file order.
struct ini_section {
  std::string name;
  std::vector<ini_entry> entries;
};

/// Parses INI text. Repeated sections and keys are rejected.
/// @param text Content of the file.
/// @param source Name of the file for error messages.
[[nodiscard]] result<std::vector<ini_section>> ParseIni(
    std::string_view text, const std::string& source);

/// Reads a file.
/// @return Its content, or `error_kind::kIo`.
[[nodiscard]] result<std::string> ReadFile(const std::string& path);

/// Splits text at white space.
[[nodiscard]] std::vector<std::string> SplitWords(std::string_view text);

/// Parses an unsigned decimal integer within inclusive bounds.
[[nodiscard]] result<std::uint64_t> ParseNumber(std::string_view text,
                                                std::uint64_t min,
                                                std::uint64_t max);

/// Parses `yes`, `no`, `on`, `off`, `true` or `false`.
[[nodiscard]] result<bool> ParseFlag(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_INI_H_
