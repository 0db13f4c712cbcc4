#include "sassafraswick/failover/replacement_state.h"

namespace sassafraswick {

std::string_view CauseName(replacement_cause cause) noexcept {
  switch (cause) {
    case replacement_cause::kNone:
      return "none";
    case replacement_cause::kRefused:
      return "refused";
    case replacement_cause::kSilent:
      return "silent";
    case replacement_cause::kCutOff:
      return "cut_off";
    case replacement_cause::kLeaving:
      return "leaving";
    case replacement_cause::kOrphaned:
      return "orphaned";
    case replacement_cause::kUnsettledOrder:
      return "unsettled_order";
  }
  return "unknown";
}

std::string_view ProofName(choice_proof proof) noexcept {
  switch (proof) {
    case choice_proof::kNone:
      return "none";
    case choice_proof::kHasPrimaryLog:
      return "has_primary_log";
    case choice_proof::kMostAdvanced:
      return "most_advanced";
    case choice_proof::kOldPrimary:
      return "old_primary";
    case choice_proof::kUnproved:
      return "unproved";
  }
  return "unknown";
}

std::string_view PhaseName(replacement_phase phase) noexcept {
  switch (phase) {
    case replacement_phase::kWatching:
      return "watching";
    case replacement_phase::kFencing:
      return "fencing";
    case replacement_phase::kWaiting:
      return "waiting";
    case replacement_phase::kPromoting:
      return "promoting";
  }
  return "unknown";
}

std::string_view OrderEndName(order_end end) noexcept {
  switch (end) {
    case order_end::kNone:
      return "none";
    case order_end::kTookEffect:
      return "took_effect";
    case order_end::kNotExecuted:
      return "not_executed";
    case order_end::kInstanceLeft:
      return "instance_left";
    case order_end::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

void EnterPhase(replacement_state& state, replacement_phase phase,
                time_point now) {
  state.phase = phase;
  state.since = now;
  state.last_action_at = time_point();
}

}  // namespace sassafraswick
