#ifndef STANDIN_ARGUMENTS_H_
#define STANDIN_ARGUMENTS_H_

#include <cstdlib>
#include <iostream>
#include <string>

#include "sassafraswick/config/endpoint.h"

/// @file
/// Command-line parsing shared by the stand-in programs.

namespace standin {

/// Parses an address, or ends the process with exit code 2.
[[nodiscard]] inline sassafraswick::endpoint EndpointOrExit(
    const std::string& text) {
  const sassafraswick::result<sassafraswick::endpoint> parsed =
      sassafraswick::ParseEndpoint(text);
  if (!parsed) {
    std::cerr << parsed.error().message << "\n";
    std::exit(2);
  }
  return parsed.value();
}

}  // namespace standin

#endif  // STANDIN_ARGUMENTS_H_
