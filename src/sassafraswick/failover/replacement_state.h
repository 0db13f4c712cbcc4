#ifndef SASSAFRASWICK_FAILOVER_REPLACEMENT_STATE_H_
#define SASSAFRASWICK_FAILOVER_REPLACEMENT_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// What the replacement of a primary is decided from: the health of a group's
/// instances, settings and the progress made so far.

namespace sassafraswick {

/// Status that an instance reports.
struct instance_status {
  term_number term = 0;
  bool is_primary = false;
  /// Last log entry received.
  log_point received;
  /// Term for which the instance paused replication; zero if it replicates.
  term_number paused_term = 0;
  /// Since when the host has been in contact with the process that reported it.
  time_point contact_since;
};

/// State of an instance as known to the holder of the failover lease.
struct instance_health {
  std::string id;
  /// When this process was first seen. Another process may have run under the
  /// same identifier before.
  time_point seen_since;
  /// Another process answers at its address, so this one has ended.
  bool replaced = false;
  /// Instance whose entry names a later process at the same address; empty if
  /// there is none. It may be the next process of this instance, under another
  /// identifier.
  std::string successor;
  /// Highest term that any process of the instance reported.
  term_number highest_term = 0;
  /// Highest term that this process is known to have led.
  term_number led_term = 0;
  /// The instance announced that it will stop, or is no longer listed.
  bool leaving = false;
  /// Since when `leaving` holds.
  time_point leaving_since;
  bool listed = true;
  /// Its own entry announced that it will stop.
  bool has_announced_stop = false;
  /// The instance's own entry says that it is the primary.
  bool claims_primary = false;
  std::optional<instance_status> status;
  /// When the request that returned `status` was sent.
  time_point requested_at;
  /// Time of the first unanswered request since `status`.
  std::optional<time_point> silent_since;
  /// Times of the first and the last refused connection since `status`. A
  /// refusal means that no process is listening.
  std::optional<time_point> refused_since;
  time_point refused_at;
};

/// All instances of a group that are listed or were listed recently.
using group_health = std::vector<instance_health>;

struct replacement_settings {
  /// Time over which connections must be refused repeatedly before the process
  /// is considered stopped.
  duration refused_after = std::chrono::milliseconds(150);
  /// Time without response after which a primary is replaced. Longer than the
  /// 300 ms for which a single statement may occupy a slot (the longest
  /// statement time in the deployment's requirements).
  duration silent_after = std::chrono::milliseconds(450);
  /// Time for which all replicas must lack an entry of the primary before it is
  /// considered partitioned from them.
  duration cut_off_after = std::chrono::milliseconds(900);
  /// Same as `cut_off_after` if only one replica responds. It is longer because
  /// the fault may be the replica's own, and promoting it would not help.
  duration single_replica_cut_off_after = std::chrono::milliseconds(4000);
  /// Time for which a group may have no primary before one is promoted.
  duration orphaned_after = std::chrono::milliseconds(300);
  /// Time that an instance has to confirm its entry's claim to be the primary
  /// before it is fenced.
  duration claim_timeout = std::chrono::milliseconds(1000);
  /// Interval at which a step is retried.
  duration retry_interval = std::chrono::milliseconds(250);
  /// Time after which a promotion without effect is requested again. The
  /// platform specifies that a promotion takes some hundred milliseconds.
  duration promotion_timeout = std::chrono::milliseconds(2500);
  /// Time for which a requested promotion may take effect. No other instance is
  /// promoted meanwhile, unless the requested one has left for good.
  duration order_lifetime = std::chrono::milliseconds(10'000);
  /// Longest time since the request that an instance answered last for which it
  /// is ordered as one that responds. More than the interval of status requests
  /// during a replacement; less than a process takes to end and another to run
  /// under its identifier, with an empty log.
  duration heard_within = std::chrono::milliseconds(250);
  /// Time that the successor of a leaving primary has to receive all entries.
  duration catch_up_timeout = std::chrono::milliseconds(1500);
  /// Time after the fence for which a complete list of the instances is awaited
  /// if no instance has all that the primary had when it stepped down. Then the
  /// primary is promoted again, while the failover lease is still valid; if it
  /// did not step down, the most advanced instance.
  duration list_timeout = std::chrono::milliseconds(700);
  /// Time to wait for an instance that has left and may have confirmed writes
  /// that no other has. After it, an instance is promoted without proof.
  duration member_return_timeout = std::chrono::milliseconds(10'000);
  /// Time for which a new holder of the failover lease only observes, so that a
  /// promotion requested by the previous holder takes effect first. A promotion
  /// takes about 640 ms. A holder that loses its lease stops a quarter of the
  /// lease (750 ms) before it can expire. If the previous holder shut down
  /// instead, the new holder's fencing and the primary lease add to this time.
  duration observation_period = std::chrono::milliseconds(500);
};

enum class replacement_phase : std::uint8_t {
  kWatching,
  kFencing,
  kWaiting,
  kPromoting,
};

/// Why a primary is replaced.
enum class replacement_cause : std::uint8_t {
  kNone,
  /// The primary refuses connections.
  kRefused,
  /// The primary does not respond.
  kSilent,
  /// The replicas do not receive the primary's entries.
  kCutOff,
  /// The primary is about to stop or is no longer listed.
  kLeaving,
  /// No instance is primary of the highest known term.
  kOrphaned,
  /// The promotion of another instance may still take effect.
  kUnsettledOrder,
};

/// Returns the name of a cause as written to logs.
[[nodiscard]] std::string_view CauseName(replacement_cause cause) noexcept;

/// Returns the name of a phase as written to logs.
[[nodiscard]] std::string_view PhaseName(replacement_phase phase) noexcept;

/// An instance's confirmation that it paused replication.
struct replica_pause {
  log_point received;
  /// When the confirmation arrived.
  time_point since;
};

/// An instance's response to a step-down, to this or another host.
struct step_down_response {
  log_point received;
  /// When it arrived.
  time_point at;
};

/// Why an instance was chosen.
enum class choice_proof : std::uint8_t {
  kNone,
  /// It has every entry that the primary had when it stepped down.
  kHasPrimaryLog,
  /// It is the most advanced of all instances that may have confirmed writes.
  kMostAdvanced,
  /// It is the primary that stepped down; no other instance is proved to have
  /// every acknowledged write.
  kOldPrimary,
  /// It is not proved to have every acknowledged write.
  kUnproved,
};

/// Returns the name of a proof as written to logs.
[[nodiscard]] std::string_view ProofName(choice_proof proof) noexcept;

/// One process of an instance: its identifier and `seen_since`.
using process_key = std::pair<std::string, time_point>;

/// A process that may have confirmed writes of the current term.
struct group_member {
  /// The last log entry that it is known to have received.
  log_point received;
  /// When it was found to have left.
  std::optional<time_point> left_at;
  /// Log position that covers every write that it may have confirmed.
  std::optional<log_point> bound;
};

/// Kinds of requests that fence and promote.
enum class replacement_action_kind : std::uint8_t {
  kStepDown,
  kPauseReplication,
  kResumeReplication,
  kPromote,
};

/// The last fencing request to an instance.
struct fence_request {
  replacement_action_kind kind = replacement_action_kind::kPauseReplication;
  time_point sent_at;
};

/// A promotion that was requested and may still take effect.
struct promotion_order {
  std::string instance;
  /// Since when the process was known that is to be promoted; unknown if the
  /// order is inherited.
  std::optional<time_point> process_seen_since;
  /// When the promotion was first and last requested.
  time_point first_sent_at;
  time_point sent_at;
  /// Requests that may still take effect.
  unsigned requests = 0;
  /// Highest term when the promotion was first requested or, later, that began
  /// with it.
  term_number counted_term = 0;
  /// Requested by an earlier holder of the failover lease only.
  bool is_inherited = false;
  /// The instance responded when the promotion was last requested.
  bool responded = false;
};

/// Why an order is no longer expected to take effect.
enum class order_end : std::uint8_t {
  kNone,
  /// Its instance leads.
  kTookEffect,
  /// The platform did not carry it out, or it was not sent.
  kNotExecuted,
  kInstanceLeft,
  kTimedOut,
};

/// Returns the name of the end of an order as written to logs.
[[nodiscard]] std::string_view OrderEndName(order_end end) noexcept;

/// The platform's response to a promotion request.
enum class order_result : std::uint8_t {
  /// The promotion takes effect soon.
  kAccepted,
  /// The instance is not running.
  kNotRunning,
  /// The request was not sent, or rejected without effect.
  kNotExecuted,
  /// The request was not sent, as the store has no record of it.
  kNotRecorded,
  /// No response: the promotion may take effect.
  kUnknown,
};

/// Progress of the replacement of one group's primary.
struct replacement_state {
  replacement_phase phase = replacement_phase::kWatching;
  replacement_cause cause = replacement_cause::kNone;
  /// When the current phase began. While watching, when the current cause was
  /// first found.
  time_point since;
  /// When this host began to observe the group.
  std::optional<time_point> observation_started_at;
  /// Term used for fencing, higher than the group's current term.
  term_number term = 0;
  std::string primary;
  /// Since when the primary's process is known.
  time_point primary_seen_since;
  /// Last log entry of the primary when it stepped down.
  std::optional<log_point> stepped_down_position;
  /// When the first response said so.
  time_point stepped_down_at;
  /// Instances that paused replication.
  std::map<std::string, replica_pause> paused;
  std::map<std::string, fence_request> fence_requests;
  /// Responses to step-downs of replicas, which have no effect on them.
  std::map<std::string, step_down_response> step_down_responses;
  /// When the fence was complete. The primary has acknowledged no write since.
  time_point fenced_at;
  /// When it was complete for the first time in this replacement. An instance
  /// that joins has to be fenced, too.
  std::optional<time_point> first_fenced_at;
  std::string chosen;
  choice_proof proof = choice_proof::kNone;
  /// The last promotion that was requested, while it may still take effect.
  std::optional<promotion_order> order;
  /// Why the last order was forgotten.
  order_end last_order_end = order_end::kNone;
  /// What earlier holders of the failover lease ordered is not known yet. Set
  /// by the caller before `AdvanceReplacement`.
  bool awaits_earlier_orders = false;
  /// When the platform said that an instance is not running.
  std::map<std::string, time_point> not_running;
  /// Processes listed in `members_term`, except those that have left and whose
  /// confirmed writes another instance is known to have.
  std::map<process_key, group_member> members;
  term_number members_term = 0;
  /// The processes that were primary of `members_term`, one after the other. A
  /// primary confirms no writes of its own in that term.
  std::vector<process_key> term_primaries;
  /// Whether another process is known to have joined `members_term`: it has all
  /// that the primary had at the start. Until then, what was confirmed in
  /// earlier terms may be on the primary only.
  bool is_term_joined = false;
  /// The first position that the primary of `members_term` reported; nothing if
  /// this host has not seen the term begin.
  std::optional<log_point> term_start;
  /// When the newest complete read of the list of instances was sent. Set by
  /// the caller before `AdvanceReplacement`.
  time_point list_read_at;
  /// An instance behind it lacks a commit whose acknowledgement a host has
  /// passed on. Set by the caller before `AdvanceReplacement`.
  log_point acknowledged;
  /// Highest term that an instance's answer to another host has shown, and when
  /// the last such answer arrived.
  term_number heard_term = 0;
  time_point heard_at;
  /// When actions were last sent in this phase.
  time_point last_action_at;
  /// Log entry of the primary that no replica has received yet, and when it was
  /// first seen on the primary.
  log_point unreplicated;
  time_point unreplicated_since;
};

/// Begins a phase.
void EnterPhase(replacement_state& state, replacement_phase phase,
                time_point now);

/// A request to be sent to an instance or, for `kPromote`, to the platform.
struct replacement_action {
  replacement_action_kind kind = replacement_action_kind::kPauseReplication;
  std::string instance;
  term_number term = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_REPLACEMENT_STATE_H_
