#include "sassafraswick/routing/choose_target.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// The primary alone can run writes: reads count this much more there.
constexpr double kPrimaryCostFactor = 1.6;
/// Bytes between zones are paid for: reads leave the own zone once an instance
/// there takes longer than another one by this part of the fastest latency.
constexpr double kRemoteZoneCostFactor = 1.0;
/// Latency assumed if no instance was measured yet, in milliseconds.
constexpr double kDefaultLatencyMs = 20.0;
/// Keeps an avoided option behind every other.
constexpr double kAvoidPenaltyMs = 1e6;
/// Costs that differ by less than a part of this size count as equal.
constexpr double kTieBreakFraction = 0.1;

/// Latency of the fastest instance that was measured, in milliseconds. One that
/// was not is taken to be as fast, so that it gets measured.
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

/// Derives a number for each option from one random number.
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
