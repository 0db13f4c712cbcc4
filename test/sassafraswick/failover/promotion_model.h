#ifndef TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_
#define TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Deterministic simulation, in virtual time, of hosts, one database group, the
/// store and promotions. Hosts decide with the production code. Messages are
/// delayed or lost, hosts pause, instances crash, return under another
/// identifier or without their log, are released, stop responding or are
/// partitioned, and the store is unavailable or restored from an older copy.
/// The simulation checks the results that callers received against the
/// consistency guarantees.

namespace promotion_model {

/// Bugs that can be injected into hosts, to show that the checks detect them.
enum class injected_bug : std::uint8_t {
  kNone,
  /// Reads from the primary complete without a valid primary lease.
  kIgnorePrimaryLease,
  /// The promoter does not wait for the primary lease to expire.
  kSkipLeaseWait,
  /// The promoter picks any responsive instance, whatever its log position.
  kPromoteAnyInstance,
  /// A host continues to promote after its failover lease has expired.
  kIgnoreLeaseExpiry,
  /// Hosts do not distinguish the eras of the store.
  kIgnoreStoreEra,
  /// Hosts keep what they know of a process for the next one that runs under
  /// its identifier or at its address.
  kIgnoreProcessChange,
  /// An order without response counts as not executed.
  kForgetUnansweredOrder,
  /// Acknowledgements of the primary are passed on without a proof of
  /// replication.
  kPassOnUnproved,
  /// The choice of a successor ignores what hosts have passed on.
  kIgnoreAcknowledged,
};

/// Faults that are drawn more often than others.
enum class fault_focus : std::uint8_t {
  kNone,
  /// Processes that end, and those that start after them.
  kProcesses,
  /// Lost orders beside a primary that crashes.
  kOrders,
  /// The same. Besides, orders take effect seconds late.
  kLateOrders,
  /// Stores that are restored from a copy, beside a primary that crashes.
  kStore,
  /// Primaries that are partitioned from their replicas while others start.
  /// Besides, the store lists instances seconds late.
  kLateEntries,
};

struct model_options {
  std::uint64_t seed = 1;
  injected_bug bug = injected_bug::kNone;
  std::size_t hosts = 3;
  sassafraswick::duration length = std::chrono::seconds(65);
  /// Number of random faults during the run.
  std::size_t faults = 12;
  fault_focus focus = fault_focus::kNone;
  /// Orders take effect seconds late, whatever the focus.
  bool late_orders = false;
};

struct model_report {
  /// Violated guarantees, each with its virtual time.
  std::vector<std::string> violations;
  /// Events of the run, for debugging a seed.
  std::vector<std::string> trace;
  std::uint64_t writes_acknowledged = 0;
  /// Writes whose acknowledgement by the primary was not passed on.
  std::uint64_t writes_in_doubt = 0;
  std::uint64_t reads_answered = 0;
  std::uint64_t promotions = 0;
  /// Processes that started after others.
  std::uint64_t processes = 0;
  /// Acknowledged writes whose loss is allowed.
  std::uint64_t writes_lost = 0;
};

/// Runs the simulation for one seed.
[[nodiscard]] model_report RunSimulation(const model_options& options);

}  // namespace promotion_model

#endif  // TEST_SASSAFRASWICK_FAILOVER_PROMOTION_MODEL_H_
