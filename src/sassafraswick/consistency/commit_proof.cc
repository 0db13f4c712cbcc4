#include "sassafraswick/consistency/commit_proof.h"

#include <algorithm>

namespace sassafraswick {

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

time_point RunningSince(time_point seen_since, time_point connected_at,
                        time_point list_current_at) {
  const bool is_listed = list_current_at >= connected_at + kListReadDelay;
  return is_listed ? std::min(seen_since, connected_at) : connected_at;
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
