#ifndef SASSAFRASWICK_CONFIG_KEY_H_
#define SASSAFRASWICK_CONFIG_KEY_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Keys by which callers of an organisation authenticate. Only their hashes are
/// stored.

namespace sassafraswick {

/// The stored form of a key.
struct key_record {
  std::string id;
  std::string organisation;
  /// Hexadecimal BLAKE2b-256 hash of the key's text. Keys contain 256 random
  /// bits, so a slow password hash is not needed.
  std::string hash;

  friend bool operator==(const key_record&, const key_record&) = default;
};

/// A new key. `text` is shown to the operator once and never stored.
struct issued_key {
  std::string text;
  key_record record;
};

/// Generates a key from the operating system's random number generator.
[[nodiscard]] issued_key IssueKey(const std::string& organisation);

/// Extracts the id from a key's text.
[[nodiscard]] std::string_view KeyId(std::string_view text) noexcept;

/// Compares a key with a stored hash in constant time.
[[nodiscard]] bool MatchesKey(std::string_view text, const key_record& record);

/// Generates a random identifier of 16 hexadecimal digits.
[[nodiscard]] std::string RandomId();

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_KEY_H_
