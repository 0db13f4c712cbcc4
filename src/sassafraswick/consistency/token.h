#ifndef SASSAFRASWICK_CONSISTENCY_TOKEN_H_
#define SASSAFRASWICK_CONSISTENCY_TOKEN_H_

#include <array>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log_point.h"

/// @file
/// Signed consistency tokens, which carry a session's position in the log of a
/// database group.

namespace sassafraswick {

/// Prefix of every token.
inline constexpr std::string_view kTokenPrefix = "sst1.";

/// Organisation and pool for which a token is valid.
struct token_scope {
  std::string_view organisation;
  std::string_view pool;
};

/// Encodes and verifies tokens with a secret that all hosts of the fleet share.
class token_codec {
 public:
  /// @param secret Arbitrary bytes; the signing key is their hash.
  explicit token_codec(std::string_view secret);

  /// Encodes and signs a point for a scope.
  [[nodiscard]] std::string Encode(const token_scope& scope,
                                   log_point point) const;

  /// Verifies and decodes a token.
  /// @param text Token as received from the caller.
  /// @param scope Organisation of the caller and the pool that it accesses.
  /// @return The point, or `error_kind::kInvalidToken` if the token is
  /// malformed, forged, or issued for another organisation or pool.
  [[nodiscard]] result<log_point> Decode(std::string_view text,
                                         const token_scope& scope) const;

 private:
  static constexpr std::size_t kKeyBytes = 32;

  std::array<unsigned char, kKeyBytes> key_{};
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_TOKEN_H_
