#ifndef SASSAFRASWICK_CONFIG_ENDPOINT_H_
#define SASSAFRASWICK_CONFIG_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"

/// @file
/// Network endpoints.

namespace sassafraswick {

/// An IPv4 address and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses `ADDRESS:PORT`.
/// @return The endpoint, or `error_kind::kInvalidSetting`.
[[nodiscard]] result<endpoint> ParseEndpoint(std::string_view text);

[[nodiscard]] std::string FormatEndpoint(const endpoint& value);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_ENDPOINT_H_
