#ifndef SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_
#define SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Load balancing of reads: selects the instance with the least expected
/// latency, based on this host's own requests and its measurements of each
/// instance.

namespace sassafraswick {

/// An instance that may serve a request.
struct target_option {
  /// Requests of this host that the instance is running.
  std::uint32_t in_flight = 0;
  /// Statements that the instance runs concurrently.
  std::uint32_t slots = 1;
  /// Expected latency of the request at the instance; zero if it was not
  /// measured.
  duration latency = duration::zero();
  /// Expected fraction of requests that fail at the instance.
  double failure_rate = 0.0;
  /// Time that a failure costs, as the request has to run elsewhere.
  duration failure_cost = duration::zero();
  bool is_primary = false;
  /// Fraction of the slots that statements occupy which no other instance can
  /// run.
  double reserved = 0.0;
  /// The instance is in another availability zone than this host.
  bool is_remote = false;
  /// An idle connection of the organisation is available.
  bool has_connection = false;
  /// Time to open a connection.
  duration connect_time = duration::zero();
  /// Time until the instance can serve the request.
  duration wait = duration::zero();
  /// The instance failed or was at capacity a short time ago.
  bool avoid = false;
};

/// Selects an option. One that is marked `avoid` is selected only if all are.
/// @param random Random number that breaks ties.
/// @return Index of the option; nothing if there are no options.
[[nodiscard]] std::optional<std::size_t> ChooseTarget(
    const std::vector<target_option>& options, std::uint64_t random);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_
