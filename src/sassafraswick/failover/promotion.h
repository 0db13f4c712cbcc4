#ifndef SASSAFRASWICK_FAILOVER_PROMOTION_H_
#define SASSAFRASWICK_FAILOVER_PROMOTION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// Decides when a primary must be replaced and carries out the promotion step
/// by step, for groups that provide the SQL functions of `group_contract.h`.
/// Several hosts may run it at once; the terms of the group resolve conflicts
/// between them.

namespace sassafraswick {

struct failover_settings {
  /// Maximum age of the reports on which acknowledgements rely, and the time
  /// that a promoter waits between fencing and promotion.
  duration primary_lease_duration = std::chrono::milliseconds(300);
  /// Time since the replicas last received a message from the primary after
  /// which it is replaced if it refuses connections.
  duration refused_after = std::chrono::milliseconds(250);
  /// Same as `refused_after` for a primary that does not respond to this host.
  duration silent_after = std::chrono::milliseconds(600);
  /// Same as `refused_after` for a primary that responds to this host.
  duration cut_off_after = std::chrono::milliseconds(1500);
  /// Time without response after which a primary is replaced even if replicas
  /// still receive its messages, provided that no other host reaches it either.
  duration unreachable_after = std::chrono::milliseconds(2000);
  /// Time for which a group may have no primary after another host fenced it.
  duration orphaned_after = std::chrono::milliseconds(900);
  /// Additional delay per position of a host in the group's order of promoters.
  /// Keeps hosts from starting promotions at the same time.
  duration rank_delay = std::chrono::milliseconds(200);
  /// Time after which an incomplete fence or promotion is abandoned.
  duration step_timeout = std::chrono::milliseconds(800);
  /// Maximum random delay before a retry.
  duration max_retry_jitter = std::chrono::milliseconds(200);
};

enum class promotion_phase : std::uint8_t {
  kWatching,
  /// Raises the term on all instances.
  kFencing,
  /// Waits for the primary leases known to other hosts to expire.
  kWaiting,
  kPromoting,
};

/// Why a promotion was started.
enum class promotion_cause : std::uint8_t {
  kNone,
  /// The primary refuses connections, and replicas receive no messages from it.
  kRefused,
  /// The primary does not respond, and replicas receive no messages from it.
  kSilent,
  /// The primary responds to this host, but replicas receive no messages from
  /// it.
  kCutOff,
  /// No host reaches the primary, although replicas may still receive messages
  /// from it.
  kUnreachable,
  /// No instance is primary of the current term.
  kOrphaned,
  /// The primary is about to leave the group.
  kLeaving,
};

/// Progress of one group's promotion on this host.
struct failover_state {
  promotion_phase phase = promotion_phase::kWatching;
  promotion_cause cause = promotion_cause::kNone;
  /// When the current phase began. While watching, when the current cause was
  /// first found.
  time_point since;
  /// Term to which this host tries to raise the group.
  term_number term = 0;
  /// Last log entries of the instances that accepted the term.
  std::vector<std::optional<log_point>> accepted;
  instance_index chosen = 0;
  /// Earliest time of the next attempt.
  time_point not_before;
};

enum class command_kind : std::uint8_t { kFence, kPromote };

/// A request to be sent to an instance.
struct failover_command {
  command_kind kind = command_kind::kFence;
  instance_index instance = 0;
  term_number term = 0;
};

/// Information about a group that comes from other hosts.
struct peer_view {
  /// Position of this host in the group's order of promoters, starting at 0.
  std::uint32_t rank = 0;
  /// Another host received a response from the primary within `silent_after`.
  bool primary_reachable = false;
};

/// Advances the promotion in a group.
/// @param random Uniformly distributed number from which retry jitter is drawn.
/// @return Commands to send now.
[[nodiscard]] std::vector<failover_command> AdvanceFailover(
    failover_state& state, const group_state& group,
    const failover_settings& settings, const peer_view& peers, time_point now,
    std::uint64_t random);

/// Records the response to a fence command.
/// @param accepted Whether the instance raised its term to `command.term`.
/// @param log_end The last log entry of the instance at that time.
void RecordFence(failover_state& state, const group_state& group,
                 const failover_command& command, bool accepted,
                 log_point log_end, time_point now);

/// Records the response to a promote command. Whether it was accepted does not
/// matter: the next reports of the group show the result.
void RecordPromotion(failover_state& state, const failover_command& command,
                     time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_PROMOTION_H_
