#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdio>
#include <sstream>

#include "test/support/fleet.h"

/// @file
/// Measures the resources that idle hosts use, by fleet size and number of
/// database groups: processor time, memory, traffic between hosts and calls to
/// the store.

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Time from a ready fleet to the first measurement.
constexpr milliseconds kWarmUpTime(3000);
constexpr milliseconds kMeasurementTime(8000);

/// Totals over all hosts since their start.
struct resource_usage {
  double processor_ms = 0;
  double resident_kb = 0;
  double peer_bytes = 0;
  double peer_messages = 0;
  double store_calls = 0;
};

double StoreCalls(test_support::fleet& target) {
  boost::system::error_code invalid;
  const json::value counts = json::parse(
      test_support::PostJson(target.PlatformPort(), "/standin", "{}"), invalid);
  double calls = 0;
  for (const json::key_value_pair& entry : counts.as_object()) {
    calls += entry.key() == "/hosts" ? 0 : entry.value().to_number<double>();
  }
  return calls;
}

resource_usage ReadUsage(test_support::fleet& target) {
  resource_usage total;
  for (std::size_t i = 0; i < target.ProxyCount(); ++i) {
    total.processor_ms +=
        static_cast<double>(target.Proxy(i).ProcessorTime().count());
    total.resident_kb +=
        static_cast<double>(target.Proxy(i).ResidentKilobytes());
  }
  std::istringstream lines(target.RunControlTool({"status"}));
  std::string line;
  while (std::getline(lines, line)) {
    const json::value status = json::parse(line);
    total.peer_bytes += status.at("peer_bytes_sent").to_number<double>();
    total.peer_messages += status.at("peer_messages_sent").to_number<double>();
  }
  total.store_calls = StoreCalls(target);
  return total;
}

void Measure(std::size_t proxies, std::size_t groups) {
  test_support::fleet_options options;
  options.proxies = proxies;
  options.groups = groups;
  options.with_faults = false;
  test_support::fleet target(options);
  if (!target.WaitReady()) {
    std::printf("%zu hosts, %zu groups: not ready\n", proxies, groups);
    return;
  }
  test_support::Pause(kWarmUpTime);
  const resource_usage before = ReadUsage(target);
  test_support::Pause(kMeasurementTime);
  const resource_usage after = ReadUsage(target);
  const double seconds =
      std::chrono::duration<double>(kMeasurementTime).count();
  const double hosts = static_cast<double>(proxies);
  std::printf(
      "%zu hosts, %zu groups: a host uses %.2f%% of a core, %.0f KB, sends "
      "%.0f bytes/s in %.1f messages/s; the fleet makes %.1f store calls/s\n",
      proxies, groups,
      (after.processor_ms - before.processor_ms) / seconds / hosts / 10.0,
      after.resident_kb / hosts,
      (after.peer_bytes - before.peer_bytes) / seconds / hosts,
      (after.peer_messages - before.peer_messages) / seconds / hosts,
      (after.store_calls - before.store_calls) / seconds);
  std::fflush(stdout);
}

}  // namespace

int main() {
  for (const std::size_t proxies : {2U, 4U, 8U, 12U}) {
    Measure(proxies, 1);
  }
  for (const std::size_t groups : {2U, 4U, 6U}) {
    Measure(2, groups);
  }
  return 0;
}
