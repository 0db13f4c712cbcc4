#ifndef SASSAFRASWICK_STORE_BASE64_H_
#define SASSAFRASWICK_STORE_BASE64_H_

#include <string>
#include <string_view>

/// @file
/// Base64 with padding, as etcd's JSON API carries bytes.

namespace sassafraswick {

[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// @return The bytes before the first character that is not Base64.
[[nodiscard]] std::string DecodeBase64(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_BASE64_H_
