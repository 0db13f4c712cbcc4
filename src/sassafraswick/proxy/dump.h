#ifndef SASSAFRASWICK_PROXY_DUMP_H_
#define SASSAFRASWICK_PROXY_DUMP_H_

#include <string>

#include "sassafraswick/proxy/host_runtime.h"

/// @file
/// A host's state as JSON, for operators. No keys, secrets or statement text.

namespace sassafraswick {

/// Counts and health in a few lines.
[[nodiscard]] std::string StatusJson(host_runtime& runtime);

/// Every table.
[[nodiscard]] std::string DumpJson(host_runtime& runtime);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_DUMP_H_
