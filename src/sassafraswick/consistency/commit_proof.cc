#include "sassafraswick/consistency/commit_proof.h"

#include <algorithm>

namespace sassafraswick {

void RecordAnswer(process_contact& contact, time_point connected_at,
                  time_point answered_at) {
  if (answered_at < contact.since) {
    return;
  }
  const bool is_same = connected_at <= contact.answered_at + kMinRestartTime;
  contact.since =
      is_same ? std::min(contact.since, connected_at) : connected_at;
  contact.answered_at = std::max(contact.answered_at, answered_at);
}

void RecordReplication(std::optional<replication_proof>& newest,
                       const replication_proof& proof) {
  if (!newest.has_value()) {
    newest = proof;
  } else if (proof.term >= newest->term) {
    newest->term = proof.term;
    newest->requested_at = std::max(newest->requested_at, proof.requested_at);
  }
}

void RecordTerm(std::optional<replication_proof>& newest, term_number term) {
  if (newest.has_value()) {
    newest->term = std::max(newest->term, term);
  }
}

bool IsCommitProved(const std::optional<replication_proof>& newest,
                    term_number term, time_point acknowledged_at) {
  return newest.has_value() && newest->term <= term &&
         acknowledged_at <= newest->requested_at + kCommitProofDuration;
}

time_point RunningSince(time_point seen_since, time_point contact_since,
                        time_point list_current_at) {
  const bool is_listed = list_current_at >= contact_since + kListReadDelay;
  return is_listed ? std::min(seen_since, contact_since) : contact_since;
}

bool IsWitness(const std::optional<replication_proof>& newest,
               time_point running_since, time_point requested_at) {
  if (!newest.has_value()) {
    return requested_at - running_since >= kFirstWitnessAge;
  }
  return requested_at - running_since >= kWitnessAge ||
         running_since <= newest->requested_at + kCommitProofDuration;
}

}  // namespace sassafraswick
