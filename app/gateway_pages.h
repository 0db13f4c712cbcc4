#ifndef APP_GATEWAY_PAGES_H_
#define APP_GATEWAY_PAGES_H_

#include <string>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// Prints the HTTP pages that a gateway serves at its probe address.

namespace sassafraswick {

/// Prints one page of a gateway to standard output.
/// @param address `IP:PORT` of the probe.
/// @param timeout Timeout of each step: connecting, sending the request and
/// receiving the first byte of the response.
/// @return `kUnavailable` if there was no response, `kConflict` if its status
/// was not 200.
[[nodiscard]] result<void> PrintGatewayPage(const std::string& address,
                                            const std::string& page,
                                            duration timeout);

}  // namespace sassafraswick

#endif  // APP_GATEWAY_PAGES_H_
