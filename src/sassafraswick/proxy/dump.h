#ifndef SASSAFRASWICK_PROXY_DUMP_H_
#define SASSAFRASWICK_PROXY_DUMP_H_

#include <string>

#include "sassafraswick/proxy/host_runtime.h"

/// @file
/// The state of a host as JSON, for operators. Contains no keys, secrets or
/// statement text.

namespace sassafraswick {

/// Counters and health.
[[nodiscard]] std::string StatusJson(host_runtime& runtime);

/// The status, and the state of all instances, members, grantors, allowances,
/// routes and keys.
[[nodiscard]] std::string DumpJson(host_runtime& runtime);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_DUMP_H_
