#ifndef SASSAFRASWICK_GATEWAY_LEASE_REQUEST_H_
#define SASSAFRASWICK_GATEWAY_LEASE_REQUEST_H_

#include <cstdint>
#include <string>

#include "sassafraswick/core/time.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// What an operation asks of a connection to an instance.

namespace sassafraswick {

/// How an operation will use a connection that it leases.
enum class lease_use : std::uint8_t {
  /// One read, which may run again elsewhere.
  kSingleRead,
  /// One write, which must run at most once.
  kSingleWrite,
  kTransaction,
};

struct lease_request {
  /// Identifier of the operation's first statement in the log.
  std::string request;
  std::string organisation;
  session_number session = 0;
  lease_use use = lease_use::kSingleWrite;
  /// Urgency of the operation's route; 0 is the most urgent.
  std::uint32_t priority = 1;
  /// Time until which to wait for a connection.
  time_point deadline;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_LEASE_REQUEST_H_
