#include "sassafraswick/store/base64.h"

#include <sodium.h>

namespace sassafraswick {

std::string EncodeBase64(std::string_view bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                    bytes.size(), text.data(), text.size(), nullptr, &size,
                    nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes.resize(size);
  return bytes;
}

}  // namespace sassafraswick
