#ifndef SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_
#define SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Chooses among instances that may all serve a read: least expected wait by
/// this host's own requests and what it measured of each instance.

namespace sassafraswick {

/// An instance that may serve a request.
struct target_option {
  /// Requests of this host that it works on.
  std::uint32_t in_flight = 0;
  /// Statements that it runs at a time.
  std::uint32_t slots = 1;
  /// Smoothed time to an answer.
  duration latency = duration::zero();
  bool is_primary = false;
  /// Stands in another availability zone than the host.
  bool is_remote = false;
  /// A connection of the organisation rests ready.
  bool has_connection = false;
  /// Time for opening one.
  duration connect_time = duration::zero();
  /// Time until it can serve the request at all.
  duration wait = duration::zero();
  /// Failed or was full moments ago.
  bool avoid = false;
};

/// Picks an option.
/// @param random Breaks ties.
/// @return Its index; nothing if there is none. Options to avoid are taken only
/// if all are.
[[nodiscard]] std::optional<std::size_t> ChooseTarget(
    const std::vector<target_option>& options, std::uint64_t random);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_CHOOSE_TARGET_H_
