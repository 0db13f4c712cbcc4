#ifndef SASSAFRASWICK_CONSISTENCY_COMMIT_PROOF_H_
#define SASSAFRASWICK_CONSISTENCY_COMMIT_PROOF_H_

#include <optional>

#include "sassafraswick/core/log_point.h"
#include "sassafraswick/core/time.h"

/// @file
/// Decides whether an acknowledgement of the primary may be passed on, and
/// whether it proves that the primary led when the commit was sent.
///
/// A promoter that does not reach the primary fences it by pausing all other
/// instances. An instance that joins the primary afterwards confirms writes
/// until the promoter has heard of it and paused it. Before it orders a
/// promotion, the promoter reads the list of instances, `kListReadDelay` after
/// the fence was complete or later, and fences those that are new. So what an
/// instance confirmed that started less than `kCommitProofDuration` after the
/// fence is in the log from which it chooses. An acknowledgement is passed on
/// only if the group was not fenced `kCommitProofDuration` before it arrived.

namespace sassafraswick {

/// Time from an instance's start within which the store lists it.
inline constexpr duration kEntryDelay = std::chrono::milliseconds(200);
/// Minimum time from a fence by pauses to the read of the list of instances
/// after which a promotion may be ordered. One interval of a promoter's checks
/// shorter than the primary lease, so that the order does not wait for it.
inline constexpr duration kListReadDelay = std::chrono::milliseconds(450);
/// Time after a proof of replication during which acknowledgements are passed
/// on.
inline constexpr duration kCommitProofDuration = kListReadDelay - kEntryDelay;
/// Age of a proof of replication from which a commit requests a new one when it
/// is sent, so that its acknowledgement does not wait for it.
inline constexpr duration kCommitProofRenewal =
    kCommitProofDuration - std::chrono::milliseconds(50);
/// Time for which an instance must have been known to a host that has had no
/// proof of replication since its start. Longer than a promotion takes.
inline constexpr duration kFirstWitnessAge = std::chrono::milliseconds(2000);

/// Time after which a process is a witness in any case. Longer than an order
/// counts that is requested again (20 s), and than its sender may be cut off
/// from the store before it sends it.
inline constexpr duration kWitnessAge = std::chrono::milliseconds(25'000);

/// Least time in which a process ends and another runs under its identifier.
inline constexpr duration kMinRestartTime = std::chrono::milliseconds(250);

/// Contact with one process of an instance.
struct process_contact {
  /// The process has run since then.
  time_point since;
  /// When it answered last.
  time_point answered_at;
};

/// Records that an instance answered. It is the process that had answered
/// before, unless another may have started since then.
/// @param connected_at When the connection was opened over which it answered.
void RecordAnswer(process_contact& contact, time_point connected_at,
                  time_point answered_at);

/// A time at which no fence by pauses was complete.
struct replication_proof {
  /// Term of the instance that was not paused.
  term_number term = 0;
  /// When the request was sent that proved it.
  time_point requested_at;
};

/// Records a proof, unless a newer one is known.
void RecordReplication(std::optional<replication_proof>& newest,
                       const replication_proof& proof);

/// Records that a term has begun. The promotion ended all pauses, so that an
/// instance which has not heard of it shows no fence: proofs of earlier terms
/// count no longer.
void RecordTerm(std::optional<replication_proof>& newest, term_number term);

/// Returns whether an acknowledgement of the primary of a term may be passed
/// on. If so, every instance that can have confirmed the commit was not paused
/// when the commit was sent.
/// @param acknowledged_at When it arrived.
[[nodiscard]] bool IsCommitProved(
    const std::optional<replication_proof>& newest, term_number term,
    time_point acknowledged_at);

/// Returns since when the process is known to run that sent a status. It may
/// have started under its identifier since its instance was first seen, which
/// only a list tells that was current after its start.
/// @param seen_since When the instance's process was first seen.
/// @param contact_since Since when the process that answered has been in
/// contact.
/// @param list_current_at When the known list of instances was last current.
[[nodiscard]] time_point RunningSince(time_point seen_since,
                                      time_point contact_since,
                                      time_point list_current_at);

/// Returns whether a promoter pauses a process before its fence counts as
/// complete, so that the process's status tells that there is none.
/// @param running_since Since when the process is known to run.
/// @param requested_at When its status was requested.
[[nodiscard]] bool IsWitness(const std::optional<replication_proof>& newest,
                             time_point running_since, time_point requested_at);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONSISTENCY_COMMIT_PROOF_H_
