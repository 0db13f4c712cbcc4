#ifndef SASSAFRASWICK_CONSISTENCY_TOKEN_H_
#define SASSAFRASWICK_CONSISTENCY_TOKEN_H_

#include <array>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log_point.h"

/// @file
/// Signed tokens that carry a session's position in a group's log.

namespace sassafraswick {

/// Text that every token starts with.
inline constexpr std::string_view kTokenPrefix = "sst1.";

/// Who may use a token and for what.
struct token_scope {
  std::string_view organisation;
  std::string_view pool;
};

/// Writes and checks tokens with one secret shared by the fleet.
class token_codec {
 public:
  /// @param secret Any bytes; hashed to the key that signs.
  explicit token_codec(std::string_view secret);

  /// Writes a token.
  [[nodiscard]] std::string Encode(const token_scope& scope,
                                   log_point point) const;

  /// Checks and reads a token.
  /// @param text What the caller sent.
  /// @param scope Who sent it and which pool it is used for.
  /// @return The point, or `error_kind::kInvalidToken` if the token is
  /// malformed, forged, or of another organisation or pool.
  [[nodiscard]] result<log_point> Decode(std::string_view text,
                                         const token_scope& scope) const;

 private:
  static constexpr std::size_t kKeySize = 32;

  std::array<unsigned char, kKeySize> key_{};
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_TOKEN_H_
