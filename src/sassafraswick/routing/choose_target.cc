#include "sassafraswick/routing/choose_target.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Cost factor of reads on the primary, which alone can run writes.
constexpr double kPrimaryCostFactor = 1.6;
/// Upper bound of the reserved fraction of slots.
constexpr double kMaxReserved = 0.75;
/// Additional cost of an instance in another zone, as a multiple of the fastest
/// latency. Traffic between zones is charged, so reads leave the zone only if
/// they take that much longer in it.
constexpr double kRemoteZoneCostFactor = 1.0;
/// Latency assumed until an instance has been measured.
constexpr double kDefaultLatencyMs = 20.0;
/// Makes an avoided option more expensive than any other.
constexpr double kAvoidPenaltyMs = 1e6;
/// Random variation of costs, as a fraction. Costs that differ by less may be
/// ranked in either order.
constexpr double kTieBreakFraction = 0.1;

/// Returns the latency of the fastest measured instance in milliseconds. It
/// also stands for instances without a measurement, so that they get measured.
double FastestLatency(const std::vector<target_option>& options) {
  std::optional<duration> fastest;
  for (const target_option& option : options) {
    if (option.latency > duration::zero()) {
      fastest = std::min(fastest.value_or(option.latency), option.latency);
    }
  }
  return fastest.has_value() ? ToMilliseconds(*fastest) : kDefaultLatencyMs;
}

double Cost(const target_option& option, double fastest, std::uint64_t random) {
  const double measured = ToMilliseconds(option.latency);
  const double latency = measured > 0.0 ? measured : fastest;
  const double load =
      1.0 + static_cast<double>(option.in_flight) / option.slots;
  double cost = latency * load;
  if (option.is_primary) {
    cost *= kPrimaryCostFactor;
  }
  cost /= 1.0 - std::clamp(option.reserved, 0.0, kMaxReserved);
  cost += option.failure_rate * ToMilliseconds(option.failure_cost);
  if (option.is_remote) {
    cost += kRemoteZoneCostFactor * fastest;
  }
  if (!option.has_connection) {
    cost += ToMilliseconds(option.connect_time);
  }
  cost += ToMilliseconds(option.wait);
  if (option.avoid) {
    cost += kAvoidPenaltyMs;
  }
  constexpr std::uint64_t kSteps = 1024;
  const double fraction = static_cast<double>(random % kSteps) / kSteps;
  return cost * (1.0 + kTieBreakFraction * fraction);
}

/// Derives a pseudo-random number for each option from one random number.
std::uint64_t Mix(std::uint64_t random, std::size_t index) {
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = random + kGoldenRatio * (index + 1);
  mixed ^= mixed >> 31U;
  return mixed * kGoldenRatio >> 32U;
}

}  // namespace

std::optional<std::size_t> ChooseTarget(
    const std::vector<target_option>& options, std::uint64_t random) {
  std::optional<std::size_t> best;
  double best_cost = 0.0;
  const double fastest = FastestLatency(options);
  for (std::size_t i = 0; i < options.size(); ++i) {
    const double cost = Cost(options[i], fastest, Mix(random, i));
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace sassafraswick
