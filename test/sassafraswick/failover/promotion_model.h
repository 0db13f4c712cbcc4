#ifndef TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_
#define TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// A model in virtual time of hosts, one database group, the store and the
/// promotions between them. Hosts decide with the product's own functions;
/// messages are late or lost, hosts pause, instances crash, go dark or are cut
/// off, and the store is away. The model checks what callers were told.

namespace promotion_model {

/// Faults planted in the hosts, to show that the checks bite.
enum class injected_bug : std::uint8_t {
  kNone,
  /// Reads of the primary are answered without a permit.
  kIgnorePrimaryLease,
  /// The promoter does not wait for the permit window.
  kSkipLeaseWait,
  /// The promoter takes the first instance that answers.
  kPromoteAnyInstance,
  /// A holder goes on after its lease has run out.
  kIgnoreLeaseExpiry,
};

struct model_options {
  std::uint64_t seed = 1;
  injected_bug bug = injected_bug::kNone;
  std::size_t hosts = 3;
  sassafraswick::duration length = std::chrono::seconds(40);
  /// Faults drawn over the run.
  std::size_t faults = 8;
};

struct model_report {
  /// Broken promises, each with its virtual time.
  std::vector<std::string> violations;
  /// What happened, for whoever traces a seed.
  std::vector<std::string> trace;
  std::uint64_t writes_acknowledged = 0;
  std::uint64_t reads_answered = 0;
  std::uint64_t promotions = 0;
};

/// Plays one seed.
[[nodiscard]] model_report RunSimulation(const model_options& options);

}  // namespace promotion_model

#endif  // TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_
