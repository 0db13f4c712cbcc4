#ifndef SASSAFRASWICK_CONFIG_KEY_H_
#define SASSAFRASWICK_CONFIG_KEY_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Keys that organisations show. Only hashes are stored.

namespace sassafraswick {

/// A key as stored.
struct key_record {
  std::string id;
  std::string organisation;
  /// Hexadecimal BLAKE2b-256 of the whole key. Keys carry 256 random bits, so
  /// a fast hash is enough.
  std::string hash;

  friend bool operator==(const key_record&, const key_record&) = default;
};

/// A new key; `text` is shown once and never stored.
struct issued_key {
  std::string text;
  key_record record;
};

/// Makes a key from the operating system's random numbers.
[[nodiscard]] issued_key IssueKey(const std::string& organisation);

/// Returns the id that a key's text starts with.
[[nodiscard]] std::string_view KeyId(std::string_view text) noexcept;

/// Compares a key with a stored hash in constant time.
[[nodiscard]] bool MatchesKey(std::string_view text, const key_record& record);

/// Makes a random identifier of 16 hexadecimal digits.
[[nodiscard]] std::string RandomId();

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_KEY_H_
