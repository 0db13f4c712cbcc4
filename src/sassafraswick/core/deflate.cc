#include "sassafraswick/core/deflate.h"

#include <zlib.h>

namespace sassafraswick {

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(text.data()),
                               text.size(), Z_BEST_SPEED);
  bytes.resize(status == Z_OK ? size : 0);
  return bytes;
}

result<std::string> Inflate(std::string_view bytes, std::size_t size,
                            std::size_t max_size) {
  if (size > max_size) {
    return MakeError(error_kind::kProtocol,
                     "compressed text exceeds the size limit with " +
                         std::to_string(size) + " bytes");
  }
  std::string text(size, '\0');
  uLongf written = size;
  const int status =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &written,
                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  if (status != Z_OK || written != size) {
    return MakeError(error_kind::kProtocol,
                     "compressed text is corrupt or of another size than "
                     "announced");
  }
  return text;
}

}  // namespace sassafraswick
