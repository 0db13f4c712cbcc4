#ifndef SASSAFRASWICK_CORE_DEFLATE_H_
#define SASSAFRASWICK_CORE_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Compression of documents in messages between hosts.

namespace sassafraswick {

/// Compresses a text.
/// @return The compressed text in zlib format, or an empty string if memory is
/// exhausted.
[[nodiscard]] std::string Deflate(std::string_view text);

/// Decompresses a text.
/// @param size Size of the text in bytes, as announced by the sender.
/// @param max_size Largest size to accept.
/// @return The text, or `error_kind::kProtocol` if the bytes are corrupt or do
/// not decompress to exactly that size.
[[nodiscard]] result<std::string> Inflate(std::string_view bytes,
                                          std::size_t size,
                                          std::size_t max_size);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_DEFLATE_H_
