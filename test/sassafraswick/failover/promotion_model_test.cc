#include "test/sassafraswick/failover/promotion_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <string>

namespace promotion_model {
namespace {

/// Number of seeds in CI, and maximum number tried to detect an injected bug.
constexpr std::uint64_t kSeedCount = 100;

struct totals {
  std::uint64_t failed_seeds = 0;
  /// Seeds in which an instance without an acknowledged write was promoted.
  std::uint64_t losing_seeds = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t promotions = 0;
  std::uint64_t processes = 0;
  std::uint64_t writes_lost = 0;
  std::uint64_t writes_in_doubt = 0;
};

totals SimulateSeeds(std::uint64_t first, std::uint64_t count, injected_bug bug,
                     fault_focus focus = fault_focus::kNone,
                     std::size_t faults = model_options().faults,
                     bool late_orders = false) {
  totals sum;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    model_options options;
    options.seed = seed;
    options.bug = bug;
    options.focus = focus;
    options.faults = faults;
    options.late_orders = late_orders;
    const model_report report = RunSimulation(options);
    sum.failed_seeds += report.violations.empty() ? 0 : 1;
    const bool loses = std::any_of(
        report.violations.begin(), report.violations.end(),
        [](const std::string& violation) {
          return violation.find("acknowledged write") != std::string::npos &&
                 violation.find("which was promoted") != std::string::npos;
        });
    sum.losing_seeds += loses ? 1 : 0;
    sum.writes += report.writes_acknowledged;
    sum.reads += report.reads_answered;
    sum.promotions += report.promotions;
    sum.processes += report.processes;
    sum.writes_lost += report.writes_lost;
    sum.writes_in_doubt += report.writes_in_doubt;
    if (bug == injected_bug::kNone && !report.violations.empty()) {
      std::string trace;
      for (const std::string& line : report.trace) {
        trace += line + "\n";
      }
      UNSCOPED_INFO("seed " << seed << "\n" << trace);
    }
  }
  return sum;
}

TEST_CASE("no simulated run violates a guarantee", "[promotion_model]") {
  const totals sum = SimulateSeeds(1, kSeedCount, injected_bug::kNone);
  CHECK(sum.failed_seeds == 0);
  // The checks are meaningful only if runs contain enough operations.
  CHECK(sum.promotions > kSeedCount);
  CHECK(sum.writes > kSeedCount * 500);
  CHECK(sum.reads > kSeedCount * 500);
  CHECK(sum.processes > kSeedCount);
  CHECK(sum.writes_lost < sum.writes / 20);
}

/// Returns the focus under which a bug matters most.
fault_focus FocusOf(injected_bug bug) {
  switch (bug) {
    case injected_bug::kIgnoreProcessChange:
    case injected_bug::kPassOnUnproved:
      return fault_focus::kProcesses;
    case injected_bug::kIgnoreStoreEra:
      return fault_focus::kStore;
    case injected_bug::kForgetUnansweredOrder:
      return fault_focus::kLateOrders;
    case injected_bug::kIgnoreAcknowledged:
      return fault_focus::kLateEntries;
    default:
      return fault_focus::kNone;
  }
}

/// Returns the number of faults with which a bug shows. Where several
/// mechanisms prevent the same loss, more has to go wrong until one is missed.
std::size_t FaultsOf(injected_bug bug) {
  const std::size_t faults = model_options().faults;
  switch (bug) {
    case injected_bug::kIgnoreProcessChange:
    case injected_bug::kPassOnUnproved:
    case injected_bug::kSkipLeaseWait:
      return faults * 3;
    default:
      return faults;
  }
}

/// Returns whether orders are late in the runs that show a bug. Without it,
/// what is passed on unproved is rarely lost before the promotion takes effect.
bool AreOrdersLate(injected_bug bug) {
  return bug == injected_bug::kPassOnUnproved;
}

/// Returns whether a run violates a guarantee, but not without the bug.
bool IsDetected(std::uint64_t seed, injected_bug bug) {
  const fault_focus focus = FocusOf(bug);
  const std::size_t faults = FaultsOf(bug);
  const bool late_orders = AreOrdersLate(bug);
  const totals sum = SimulateSeeds(seed, 1, bug, focus, faults, late_orders);
  // What is passed on without proof must show as a loss.
  const bool is_found = bug == injected_bug::kPassOnUnproved
                            ? sum.losing_seeds != 0
                            : sum.failed_seeds != 0;
  return is_found &&
         SimulateSeeds(seed, 1, injected_bug::kNone, focus, faults, late_orders)
                 .failed_seeds == 0;
}

/// Returns the first seed that shows a bug; `first` + `kSeedCount` if none of
/// the `kSeedCount` from `first` on does.
std::uint64_t FirstDetectingSeed(injected_bug bug, std::uint64_t first = 1) {
  std::uint64_t seed = first;
  while (seed < first + kSeedCount && !IsDetected(seed, bug)) {
    ++seed;
  }
  return seed;
}

TEST_CASE("no simulated run with many faults of a kind violates a guarantee",
          "[promotion_model]") {
  const fault_focus focus = GENERATE(
      fault_focus::kProcesses, fault_focus::kOrders, fault_focus::kLateEntries);
  CAPTURE(static_cast<int>(focus));
  const totals sum = SimulateSeeds(1, kSeedCount, injected_bug::kNone, focus);
  CHECK(sum.failed_seeds == 0);
  CHECK(sum.processes > kSeedCount * 2);
  CHECK(sum.promotions > kSeedCount);
}

// Guards against: an order was taken for void, or not known to the next holder,
// and another instance led until it took effect. Seen with: seeds 1062 and
// 1187.
TEST_CASE("no order that takes effect seconds late violates a guarantee",
          "[late_order]") {
  constexpr std::uint64_t kFirst = 1001;
  constexpr std::uint64_t kCount = 2 * kSeedCount;
  const totals sum = SimulateSeeds(kFirst, kCount, injected_bug::kNone,
                                   fault_focus::kLateOrders);
  CHECK(sum.failed_seeds == 0);
  CHECK(sum.losing_seeds == 0);
  CHECK(sum.promotions > kCount);
}

// Guards against: a host took an instance that had restarted, and so lost its
// pause, for a witness, and passed on what an old primary acknowledged while
// the promotion of another was outstanding. Seen with: these seeds.
TEST_CASE("no restarted instance proves that a group is not fenced",
          "[restarted_witness]") {
  struct losing_seed {
    std::uint64_t seed;
    fault_focus focus;
  };
  const losing_seed each = GENERATE(losing_seed{6158, fault_focus::kLateOrders},
                                    losing_seed{6051, fault_focus::kProcesses},
                                    losing_seed{6564, fault_focus::kStore});
  CAPTURE(each.seed);
  const totals sum = SimulateSeeds(each.seed, 1, injected_bug::kNone,
                                   each.focus, model_options().faults, true);
  CHECK(sum.failed_seeds == 0);
  CHECK(sum.losing_seeds == 0);
  CHECK(sum.promotions > 0);
}

TEST_CASE("the simulation detects each injected bug", "[promotion_model]") {
  const injected_bug bug = GENERATE(
      injected_bug::kIgnorePrimaryLease, injected_bug::kSkipLeaseWait,
      injected_bug::kPromoteAnyInstance, injected_bug::kIgnoreLeaseExpiry,
      injected_bug::kIgnoreStoreEra, injected_bug::kIgnoreProcessChange,
      injected_bug::kPassOnUnproved, injected_bug::kIgnoreAcknowledged);
  CAPTURE(static_cast<int>(bug));
  CHECK(FirstDetectingSeed(bug) <= kSeedCount);
}

TEST_CASE("the simulation detects a forgotten order", "[forgotten_order]") {
  constexpr std::uint64_t kFirst = 201;
  CHECK(FirstDetectingSeed(injected_bug::kForgetUnansweredOrder, kFirst) <
        kFirst + kSeedCount);
}

/// Returns the focus that a run by hand is given.
fault_focus FocusByName(const std::string& name) {
  const std::map<std::string, fault_focus> names = {
      {"processes", fault_focus::kProcesses},
      {"orders", fault_focus::kOrders},
      {"late_orders", fault_focus::kLateOrders},
      {"late_entries", fault_focus::kLateEntries},
      {"store", fault_focus::kStore}};
  const auto found = names.find(name);
  return found == names.end() ? fault_focus::kNone : found->second;
}

// Runs many seeds. Hidden, so it must be started manually:
// SASSAFRASWICK_MODEL_SEEDS=FIRST:COUNT SASSAFRASWICK_MODEL_FOCUS=orders
// build/test/unit_tests "[model_many]"
// With SASSAFRASWICK_MODEL_LATE_ORDERS=1, orders take effect late in any focus.
TEST_CASE("no run of a given seed range violates a guarantee",
          "[.][model_many]") {
  const char* const text = std::getenv("SASSAFRASWICK_MODEL_SEEDS");
  const std::string range = text == nullptr ? "1000:1000" : text;
  const char* const focus = std::getenv("SASSAFRASWICK_MODEL_FOCUS");
  const bool late_orders =
      std::getenv("SASSAFRASWICK_MODEL_LATE_ORDERS") != nullptr;
  const std::size_t colon = range.find(':');
  const totals sum =
      SimulateSeeds(std::stoull(range.substr(0, colon)),
                    std::stoull(range.substr(colon + 1)), injected_bug::kNone,
                    FocusByName(focus == nullptr ? std::string() : focus),
                    model_options().faults, late_orders);
  WARN("promotions " << sum.promotions << ", writes " << sum.writes
                     << ", reads " << sum.reads << ", processes "
                     << sum.processes << ", writes lost " << sum.writes_lost
                     << ", writes in doubt " << sum.writes_in_doubt);
  CHECK(sum.failed_seeds == 0);
}

}  // namespace
}  // namespace promotion_model
