#ifndef SASSAFRASWICK_FAILOVER_REPLACEMENT_H_
#define SASSAFRASWICK_FAILOVER_REPLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// Replaces the primary of a group whose instances can be fenced by hand and
/// whose promotion somebody else carries out.
///
/// The host that holds the failover lease fences (the primary steps down, or
/// all other instances stop receiving), waits for the permit window, and has
/// the instance promoted that is proved to hold every acknowledged write.
/// Writes are acknowledged once one replica received them, so the furthest of
/// all other instances holds them all.

namespace sassafraswick {

/// What an instance says of itself.
struct instance_status {
  term_number term = 0;
  bool is_primary = false;
  /// Last entry received.
  log_point received;
  /// Term for which it stopped receiving; zero if it receives.
  term_number paused_term = 0;
};

/// An instance as the holder of the failover lease sees it.
struct instance_health {
  std::string id;
  /// Says that it is about to stop, or is no longer listed.
  bool leaving = false;
  std::optional<instance_status> status;
  /// When the question behind `status` was sent.
  time_point requested_at;
  /// First of the questions that got no answer since `status`.
  std::optional<time_point> silent_since;
  /// First and last refused connection since `status`: no process is there.
  std::optional<time_point> refused_since;
  time_point refused_at;
};

/// All instances of a group that are listed or were lately.
using group_health = std::vector<instance_health>;

struct replacement_settings {
  /// Repeated refusals over this time mean that the process is gone.
  duration refused_after = std::chrono::milliseconds(150);
  /// Silence after which a primary is replaced. A slot may be taken by one
  /// statement for 300 ms (the longest work on the users' sheets).
  duration silent_after = std::chrono::milliseconds(450);
  /// Time after which a primary whose replicas still lack an entry is taken for
  /// cut off from them.
  duration cut_off_after = std::chrono::milliseconds(900);
  /// The same if only one replica answers: the fault may be the replica's, and
  /// then its promotion helps nobody.
  duration single_replica_cut_off_after = std::chrono::milliseconds(4000);
  /// Time a group may be without primary before it gets one.
  duration orphaned_after = std::chrono::milliseconds(300);
  /// Time before a step is tried again.
  duration retry_interval = std::chrono::milliseconds(250);
  /// Time after which a promotion that shows no effect is tried again. The
  /// platform takes "some hundred ms".
  duration promotion_timeout = std::chrono::milliseconds(2500);
  /// Time that a leaving primary's successor gets to receive all entries.
  duration catch_up_timeout = std::chrono::milliseconds(1500);
  /// Time for which a new holder only watches, so that a promotion that its
  /// predecessor asked for has shown its effect. The predecessor stopped a
  /// quarter of its lease (750 ms) before the lease could end, or is stopping
  /// and a fence with its permit window comes on top; a promotion takes some
  /// 640 ms.
  duration observation_period = std::chrono::milliseconds(500);
};

enum class replacement_phase : std::uint8_t {
  kWatching,
  kFencing,
  kWaiting,
  kPromoting,
};

enum class replacement_cause : std::uint8_t {
  kNone,
  kRefused,
  kSilent,
  kCutOff,
  kLeaving,
  kOrphaned,
};

/// Name of a cause in logs.
[[nodiscard]] std::string_view CauseName(replacement_cause cause) noexcept;

/// Name of a phase in logs.
[[nodiscard]] std::string_view PhaseName(replacement_phase phase) noexcept;

/// An instance that stopped receiving.
struct replica_pause {
  log_point received;
  /// When its answer arrived.
  time_point since;
};

/// Progress of one group's replacement.
struct replacement_state {
  replacement_phase phase = replacement_phase::kWatching;
  replacement_cause cause = replacement_cause::kNone;
  /// When the phase, or while watching the cause, began.
  time_point since;
  /// When this host began to watch the group.
  std::optional<time_point> observation_started_at;
  /// Term that the fence uses, above the group's.
  term_number term = 0;
  std::string primary;
  /// Position of the primary that stepped down.
  std::optional<log_point> stepped_down_position;
  /// Instances that stopped receiving.
  std::map<std::string, replica_pause> paused;
  /// From then on the primary acknowledged nothing more.
  time_point fenced_at;
  std::string chosen;
  /// Last time actions were sent in this phase.
  time_point last_action_at;
  /// Entry of the primary that replicas have yet to receive, and when it was
  /// first seen there.
  log_point unreplicated;
  time_point unreplicated_since;
};

enum class replacement_action_kind : std::uint8_t {
  kStepDown,
  kPauseReplication,
  kResumeReplication,
  kPromote,
};

/// Something to be done to an instance.
struct replacement_action {
  replacement_action_kind kind = replacement_action_kind::kPauseReplication;
  std::string instance;
  term_number term = 0;
};

/// Advances a group's replacement.
/// @return Actions to carry out now.
[[nodiscard]] std::vector<replacement_action> AdvanceReplacement(
    replacement_state& state, const group_health& group,
    const replacement_settings& settings, time_point now);

/// Tells whether replicas should be asked at once whether they still receive:
/// their last answers lack an entry that the primary has had for long.
[[nodiscard]] bool MayBeCutOff(const replacement_state& state,
                               const replacement_settings& settings,
                               time_point now);

/// Feeds an instance's answer to `kStepDown` or `kPauseReplication`.
void RecordFenced(replacement_state& state, const group_health& group,
                  const replacement_action& action,
                  const instance_status& status, time_point now);

/// Feeds the answer to `kPromote`.
/// @param accepted False if the instance is not running, so that another one
/// has to be chosen.
void RecordPromoted(replacement_state& state, const replacement_action& action,
                    bool accepted, time_point now);

/// The instance that leads the highest term, by the last answers.
[[nodiscard]] const instance_health* FindCurrentPrimary(
    const group_health& group);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_REPLACEMENT_H_
