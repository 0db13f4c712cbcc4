#ifndef SASSAFRASWICK_STORE_BASE64_H_
#define SASSAFRASWICK_STORE_BASE64_H_

#include <string>
#include <string_view>

/// @file
/// Base64 with padding, the encoding of bytes in etcd's JSON API.

namespace sassafraswick {

[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// Decodes up to the first character that is not Base64.
[[nodiscard]] std::string DecodeBase64(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_BASE64_H_
