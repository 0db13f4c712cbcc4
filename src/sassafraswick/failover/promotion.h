#ifndef SASSAFRASWICK_FAILOVER_PROMOTION_H_
#define SASSAFRASWICK_FAILOVER_PROMOTION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// Decides when a primary is to be replaced and carries the promotion out step
/// by step. Any host may run it; the group's own terms arbitrate.

namespace sassafraswick {

struct failover_settings {
  /// Age up to which a report permits acknowledgements, and the time a promoter
  /// waits between fencing and promoting.
  duration primary_lease_duration = std::chrono::milliseconds(300);
  /// Silence towards the replicas after which a primary that refuses
  /// connections is replaced.
  duration refused_after = std::chrono::milliseconds(250);
  /// The same for a primary that does not answer this host.
  duration silent_after = std::chrono::milliseconds(600);
  /// The same for a primary that answers this host.
  duration cut_off_after = std::chrono::milliseconds(1500);
  /// Unanswered time after which a primary is replaced although a replica
  /// still hears it, if no other host hears it either.
  duration unreachable_after = std::chrono::milliseconds(2000);
  /// Time a group may stay without primary after another host fenced it.
  duration orphaned_after = std::chrono::milliseconds(900);
  /// Extra wait of each host behind the first in the group's order.
  duration rank_delay = std::chrono::milliseconds(200);
  /// Time after which an unanswered fence or promotion is given up.
  duration step_timeout = std::chrono::milliseconds(800);
  /// Longest random wait before another attempt.
  duration max_retry_jitter = std::chrono::milliseconds(200);
};

enum class promotion_phase : std::uint8_t {
  kWatching,
  /// Raising the term on all instances.
  kFencing,
  /// Waiting for other hosts' permits to end.
  kWaiting,
  kPromoting,
};

/// Why a promotion was started.
enum class promotion_cause : std::uint8_t {
  kNone,
  kRefused,
  kSilent,
  kCutOff,
  kUnreachable,
  kOrphaned,
  kLeaving,
};

/// Progress of one group's promotion on this host.
struct failover_state {
  promotion_phase phase = promotion_phase::kWatching;
  promotion_cause cause = promotion_cause::kNone;
  /// When the current phase, or the condition that may start one, began.
  time_point since;
  /// Term this host tries to raise the group to.
  term_number term = 0;
  /// Log ends of the instances that accepted the term.
  std::vector<std::optional<log_point>> accepted;
  instance_index chosen = 0;
  /// No new attempt before this time.
  time_point not_before;
};

enum class command_kind : std::uint8_t { kFence, kPromote };

/// Something to be sent to an instance.
struct failover_command {
  command_kind kind = command_kind::kFence;
  instance_index instance = 0;
  term_number term = 0;
};

/// What other hosts say of a group.
struct peer_view {
  /// Place of this host in the group's order of promoters, from 0.
  std::uint32_t rank = 0;
  /// Some other host has an answer from the primary within `silent_after`.
  bool primary_heard = false;
};

/// Advances a group's promotion.
/// @param random Uniform random number that spreads retries.
/// @return Commands to send now.
[[nodiscard]] std::vector<failover_command> AdvanceFailover(
    failover_state& state, const group_state& group,
    const failover_settings& settings, const peer_view& peers, time_point now,
    std::uint64_t random);

/// Feeds the answer of a fence.
/// @param accepted Whether the instance raised its term to `command.term`.
/// @param log_end The instance's last entry at that moment.
void RecordFence(failover_state& state, const group_state& group,
                 const failover_command& command, bool accepted,
                 log_point log_end, time_point now);

/// Feeds the answer of a promotion. Accepted or not, the group's next reports
/// tell what came of it.
void RecordPromotion(failover_state& state, const failover_command& command,
                     time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_PROMOTION_H_
