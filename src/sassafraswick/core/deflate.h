#ifndef SASSAFRASWICK_CORE_DEFLATE_H_
#define SASSAFRASWICK_CORE_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Compression of documents that hosts send each other.

namespace sassafraswick {

/// @return The text in zlib's format; empty if there is no memory for it.
[[nodiscard]] std::string Deflate(std::string_view text);

/// @param size Bytes of the text, as its sender said.
/// @param limit Most bytes to accept.
/// @return The text, or `error_kind::kProtocol` if the bytes are damaged or
/// not of that size.
[[nodiscard]] result<std::string> Inflate(std::string_view bytes,
                                          std::size_t size,
                                          std::size_t max_size);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_DEFLATE_H_
