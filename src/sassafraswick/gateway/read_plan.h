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
/// Where an operation may run: how long it may wait, how fresh its reads must
/// be and which instance serves them.

namespace sassafraswick {

/// Part of an operation's objective for which it may wait for a target before
/// it is refused.
inline constexpr int kWaitDivisor = 2;
/// Shortest time after which a read without answer is tried elsewhere.
inline constexpr duration kReadPatience = std::chrono::milliseconds(150);
/// The same as a multiple of the instance's usual latency.
inline constexpr int kReadPatienceFactor = 8;
/// Time for which an instance that had no slot is left out of reads.
inline constexpr duration kBusyRest = std::chrono::milliseconds(100);
/// Part of a route's age that is left for running a read.
inline constexpr duration kAgeMargin = std::chrono::milliseconds(20);

/// What an operation knows of its caller.
struct operation_scope {
  session_number session = 0;
  catalog_route route;
  std::string organisation;
  time_point arrived_at;
  std::optional<session_floor> floor;

  [[nodiscard]] time_point Deadline() const {
    return arrived_at + route.statement_timeout;
  }
  /// Latest moment at which a target may be offered the operation.
  [[nodiscard]] time_point OfferLimit() const {
    return arrived_at + std::min(route.target_latency / kWaitDivisor,
                                 route.statement_timeout);
  }
};

/// Where a read may run.
template <session_codec Codec>
struct read_plan {
  std::shared_ptr<target_slot<Codec>> slot;
  /// Position that the instance must show.
  std::optional<log_point> after;
  /// Time until it should show that.
  duration wait = duration::zero();
  /// The answer counts only with a permit.
  bool needs_permit = false;
  /// The group's term when the plan was made.
  term_number term = 0;
  /// The read has to wait for a position that is proved fresh enough.
  bool awaits_proof = false;
};

/// Position that proves a read of the route fresh enough, if one is known.
[[nodiscard]] inline std::optional<log_point> PositionForRead(
    const primary_view& view, const operation_scope& scope) {
  if (scope.route.consistency == read_consistency::kPrimary) {
    return std::nullopt;
  }
  const duration age =
      std::max(scope.route.max_staleness - kAgeMargin, duration::zero());
  return RequiredPosition(view, scope.arrived_at - age, scope.floor);
}

/// The primary, unless it gave no answer lately.
template <session_codec Codec>
[[nodiscard]] std::shared_ptr<target_slot<Codec>> AvailablePrimary(
    const target_group<Codec>& group) {
  const std::shared_ptr<target_slot<Codec>> primary = group.Primary();
  const bool suspect =
      primary != nullptr && primary->IsSuspect(monotonic_clock::now());
  return suspect ? nullptr : primary;
}

/// Chooses an instance for a read.
template <session_codec Codec>
[[nodiscard]] read_plan<Codec> PlanRead(target_group<Codec>& group,
                                        const operation_scope& scope,
                                        const std::vector<std::string>& tried) {
  read_plan<Codec> plan;
  plan.term = group.View().term;
  plan.after = PositionForRead(group.View(), scope);
  if (plan.after.has_value()) {
    const typename target_group<Codec>::reader reader = group.PickReader(
        scope.organisation, *plan.after, scope.OfferLimit(), tried);
    if (reader.slot != nullptr) {
      plan.slot = reader.slot;
      plan.wait = reader.wait;
      return plan;
    }
    plan.after.reset();
  } else if (scope.route.consistency != read_consistency::kPrimary) {
    // One question finds a position for all. Without it every read would run
    // on the primary, whose full slots then keep the question out.
    plan.awaits_proof = true;
    return plan;
  }
  plan.needs_permit = true;
  plan.slot = AvailablePrimary(group);
  return plan;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_READ_PLAN_H_
