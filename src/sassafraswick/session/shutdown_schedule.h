#ifndef SASSAFRASWICK_SESSION_SHUTDOWN_SCHEDULE_H_
#define SASSAFRASWICK_SESSION_SHUTDOWN_SCHEDULE_H_

#include <cstdint>

#include "sassafraswick/core/time.h"
#include "sassafraswick/session/statement.h"

/// @file
/// Schedule of a host's graceful shutdown: when its sessions are closed, and
/// which statements it still runs.

namespace sassafraswick {

/// Time after the start of a shutdown at which the load balancer sends no new
/// callers any more: it probes once a second and removes a host after two
/// failed probes.
inline constexpr duration kLoadBalancerReactionTime =
    std::chrono::milliseconds(2300);

enum class shutdown_phase : std::uint8_t {
  /// New callers may still arrive; only idle sessions are closed.
  kClosingIdle,
  /// Sessions are closed after their next operation.
  kClosingAll,
  /// New operations are rejected, and open transactions may end.
  kFinishing,
  /// The process ends once no statement is in flight.
  kEnding,
  kOver,
};

class shutdown_schedule {
 public:
  /// @param grace Time from the request to stop until the process is killed.
  shutdown_schedule(time_point began, duration grace) noexcept
      : began_(began), grace_(grace) {}

  [[nodiscard]] shutdown_phase PhaseAt(time_point now) const noexcept;

  /// Returns how long a transaction may be idle before it is aborted.
  [[nodiscard]] duration TransactionIdleTimeout() const noexcept {
    return grace_ / 2;
  }

 private:
  time_point began_;
  duration grace_;
};

/// Returns whether a session is closed right after the response to a statement,
/// so that the caller learns of the close before it sends another one. Callers
/// often send several statements in a row that only change the session; the
/// session stays open between these.
/// @param state State of the session after the statement.
[[nodiscard]] bool ClosesSession(shutdown_phase phase, statement_kind kind,
                                 transaction_state state) noexcept;

/// Returns whether a statement is run in a phase. Otherwise it is rejected
/// without having been run.
/// @param state State of the session before the statement.
[[nodiscard]] bool RunsStatement(shutdown_phase phase, statement_kind kind,
                                 transaction_state state) noexcept;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SHUTDOWN_SCHEDULE_H_
