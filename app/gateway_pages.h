#ifndef APP_GATEWAY_PAGES_H_
#define APP_GATEWAY_PAGES_H_

#include <string>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// What a gateway says of itself at its probe address.

namespace sassafraswick {

/// Prints a page of a gateway.
/// @param address `IP:PORT` of the probe.
/// @param limit Time for connecting, and for the answer.
/// @return `kUnavailable` if no answer came, `kConflict` if it was not a page.
[[nodiscard]] result<void> PrintGatewayPage(const std::string& address,
                                            const std::string& page,
                                            duration timeout);

}  // namespace sassafraswick

#endif  // APP_GATEWAY_PAGES_H_
