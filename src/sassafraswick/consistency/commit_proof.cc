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

bool IsCommitProved(const std::optional<replication_proof>& newest,
                    term_number term, time_point acknowledged_at) {
  return newest.has_value() && newest->term <= term &&
         acknowledged_at <= newest->requested_at + kCommitProofDuration;
}

bool IsWitness(const std::optional<replication_proof>& newest,
               time_point seen_since, time_point requested_at) {
  if (!newest.has_value()) {
    return requested_at - seen_since >= kFirstWitnessAge;
  }
  if (requested_at - seen_since >= kWitnessAge) {
    return true;
  }
  // An instance that the host has seen is listed, one that only responds may
  // not be yet.
  return seen_since <= newest->requested_at + kListReadDelay ||
         requested_at <= newest->requested_at + kCommitProofDuration;
}

}  // namespace sassafraswick
