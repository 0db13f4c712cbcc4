#include "sassafraswick/session/shutdown_schedule.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Part of the grace period at its end that is left for ending the process.
constexpr duration kExitReserve = std::chrono::milliseconds(200);

bool ChangesOnlySession(statement_kind kind) {
  return kind == statement_kind::kSet || kind == statement_kind::kPrepare ||
         kind == statement_kind::kDeallocate;
}

bool EndsTransaction(statement_kind kind) {
  return kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

}  // namespace

shutdown_phase shutdown_schedule::PhaseAt(time_point now) const noexcept {
  if (now < began_ + std::min(kLoadBalancerReactionTime, grace_ / 2)) {
    return shutdown_phase::kClosingIdle;
  }
  // The last third of the grace period is left for statements in flight.
  if (now < began_ + grace_ * 2 / 3) {
    return shutdown_phase::kClosingAll;
  }
  if (now < began_ + grace_ * 4 / 5) {
    return shutdown_phase::kFinishing;
  }
  return now < began_ + grace_ - kExitReserve ? shutdown_phase::kEnding
                                              : shutdown_phase::kOver;
}

bool ClosesSession(shutdown_phase phase, statement_kind kind,
                   transaction_state state) noexcept {
  return phase >= shutdown_phase::kClosingAll &&
         state == transaction_state::kIdle && !ChangesOnlySession(kind);
}

bool RunsStatement(shutdown_phase phase, statement_kind kind,
                   transaction_state state) noexcept {
  const bool is_answered_here =
      ChangesOnlySession(kind) || state == transaction_state::kFailed;
  if (phase < shutdown_phase::kFinishing || is_answered_here) {
    return true;
  }
  return state == transaction_state::kOpen && EndsTransaction(kind);
}

}  // namespace sassafraswick
