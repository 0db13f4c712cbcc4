#include "sassafraswick/routing/choose_target.h"

namespace sassafraswick {
namespace {

/// The primary alone can run writes: reads count this much more there.
constexpr double kPrimaryWeight = 1.6;
/// Price of opening a connection, in milliseconds: a handshake takes 12 ms of
/// a slot and 14 ms of the caller's time on the users' sites.
constexpr double kConnectCost = 10.0;
/// Latency assumed of an instance that was not measured yet.
constexpr double kUnknownLatency = 20.0;
/// Keeps an avoided option behind every other.
constexpr double kAvoidCost = 1e6;
/// Costs that differ by less than a part of this size count as equal.
constexpr double kJitter = 0.1;

double Cost(const target_option& option, std::uint64_t random) {
  const double measured = ToMilliseconds(option.latency);
  const double latency = measured > 0.0 ? measured : kUnknownLatency;
  const double load =
      1.0 + static_cast<double>(option.in_flight) / option.slots;
  double cost = latency * load;
  if (option.is_primary) {
    cost *= kPrimaryWeight;
  }
  if (!option.has_connection) {
    cost += kConnectCost;
  }
  cost += ToMilliseconds(option.wait);
  if (option.avoid) {
    cost += kAvoidCost;
  }
  constexpr std::uint64_t kSteps = 1024;
  const double part = static_cast<double>(random % kSteps) / kSteps;
  return cost * (1.0 + kJitter * part);
}

/// Derives a number for each option from one random number.
std::uint64_t Mix(std::uint64_t random, std::size_t index) {
  constexpr std::uint64_t kGolden = 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = random + kGolden * (index + 1);
  mixed ^= mixed >> 31U;
  return mixed * kGolden >> 32U;
}

}  // namespace

std::optional<std::size_t> ChooseTarget(
    const std::vector<target_option>& options, std::uint64_t random) {
  std::optional<std::size_t> best;
  double best_cost = 0.0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const double cost = Cost(options[i], Mix(random, i));
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace sassafraswick
