#include "sassafraswick/config/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace sassafraswick {

result<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  endpoint parsed;
  if (colon != std::string_view::npos) {
    parsed.address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const char* const end = port.data() + port.size();
    const std::from_chars_result number =
        std::from_chars(port.data(), end, parsed.port);
    in_addr address{};
    if (number.ec == std::errc() && number.ptr == end && parsed.port != 0 &&
        inet_pton(AF_INET, parsed.address.c_str(), &address) == 1) {
      return parsed;
    }
  }
  return MakeError(error_kind::kInvalidSetting,
                   "address '" + std::string(text) +
                       "' is not an IPv4 address and a port, such as "
                       "10.0.0.1:5432");
}

std::string FormatEndpoint(const endpoint& value) {
  return value.address + ":" + std::to_string(value.port);
}

}  // namespace sassafraswick
