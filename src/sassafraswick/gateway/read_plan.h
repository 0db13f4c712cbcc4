#ifndef SASSAFRASWICK_GATEWAY_READ_PLAN_H_
#define SASSAFRASWICK_GATEWAY_READ_PLAN_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/gateway/target_group.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// Plans where an operation may run: how long it may wait, how fresh its reads
/// must be and which instance serves them.

namespace sassafraswick {

/// Divisor of a route's latency objective. The quotient is the time for which
/// an operation may wait for a target before it is rejected.
inline constexpr int kDispatchTimeDivisor = 2;
/// Time for which reads avoid an instance that had no free slot.
inline constexpr duration kBusyBackoff = std::chrono::milliseconds(100);
/// Part of a route's maximum staleness that is reserved for running the read.
inline constexpr duration kStalenessMargin = std::chrono::milliseconds(20);

/// The caller, route and timing of one operation.
struct operation_context {
  /// Identifier of the first statement in the log.
  std::string request;
  session_number session = 0;
  catalog_route route;
  std::string organisation;
  time_point arrived_at;
  /// Position of the session's last write, which reads must include.
  std::optional<session_position> min_position;

  [[nodiscard]] time_point Deadline() const {
    return arrived_at + route.statement_timeout;
  }
  /// Latest time at which the operation may be dispatched to a target.
  [[nodiscard]] time_point DispatchDeadline() const {
    return arrived_at + std::min(route.target_latency / kDispatchTimeDivisor,
                                 route.statement_timeout);
  }
};

[[nodiscard]] inline lease_request MakeLeaseRequest(
    const operation_context& operation, lease_use use, time_point deadline) {
  lease_request request;
  request.request = operation.request;
  request.organisation = operation.organisation;
  request.session = operation.session;
  request.use = use;
  request.priority = operation.route.priority;
  request.deadline = deadline;
  return request;
}

/// An instance for an operation, and the conditions under which its results
/// count.
template <session_codec Codec>
struct read_plan {
  std::shared_ptr<target_state<Codec>> target;
  /// Log position that the instance must have reached.
  std::optional<log_point> after;
  /// Expected time until the instance reaches it.
  duration wait = duration::zero();
  /// The result may be returned only under a valid primary lease.
  bool needs_primary_lease = false;
  /// The group's term when the plan was made.
  term_number term = 0;
  /// There is no instance yet: the read has to wait for a position that is
  /// proved to be fresh enough.
  bool awaits_proof = false;
};

/// Returns the log position that an instance must have reached so that a read
/// satisfies the route's maximum staleness and includes the session's own
/// writes.
/// @return Nothing for a route that reads from the primary, or if no such
/// position is known.
[[nodiscard]] inline std::optional<log_point> PositionForRead(
    const primary_view& view, const operation_context& operation) {
  if (operation.route.consistency == read_consistency::kPrimary) {
    return std::nullopt;
  }
  const duration age = std::max(
      operation.route.max_staleness - kStalenessMargin, duration::zero());
  return RequiredPosition(view, operation.arrived_at - age,
                          operation.min_position);
}

/// Returns the primary, or null if it is unknown, currently unresponsive, in an
/// evacuated zone, or has been leaving for too long.
template <session_codec Codec>
[[nodiscard]] std::shared_ptr<target_state<Codec>> AvailablePrimary(
    const target_group<Codec>& group) {
  const std::shared_ptr<target_state<Codec>> primary = group.Primary();
  const time_point now = monotonic_clock::now();
  const bool unavailable =
      primary != nullptr &&
      (primary->IsSuspect(now) || primary->IsEvacuated(now) ||
       primary->HasOverstayed(group.LeaveWithin(), now));
  return unavailable ? nullptr : primary;
}

/// Chooses an instance for a read.
/// @param tried Identifiers of instances to exclude.
template <session_codec Codec>
[[nodiscard]] read_plan<Codec> PlanRead(target_group<Codec>& group,
                                        const operation_context& operation,
                                        const std::vector<std::string>& tried) {
  read_plan<Codec> plan;
  plan.term = group.View().term;
  plan.after = PositionForRead(group.View(), operation);
  if (plan.after.has_value()) {
    const typename target_group<Codec>::read_target read_target =
        group.PickReadTarget(operation.organisation, *plan.after,
                             operation.DispatchDeadline(), tried,
                             ResponseClassOf(operation.route));
    // Later, the instance may have left. Another may lead before that.
    const bool in_time =
        monotonic_clock::now() + read_target.wait < operation.Deadline();
    if (read_target.target != nullptr && in_time) {
      plan.target = read_target.target;
      plan.wait = read_target.wait;
      return plan;
    }
    plan.after.reset();
  } else if (operation.route.consistency != read_consistency::kPrimary) {
    // One status request finds a position for all waiting reads. If they ran on
    // the primary instead, they would fill its slots and keep that request out.
    plan.awaits_proof = true;
    return plan;
  }
  plan.needs_primary_lease = true;
  plan.target = AvailablePrimary(group);
  return plan;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_READ_PLAN_H_
