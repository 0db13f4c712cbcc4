#include "test/support/fault_schedule.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace test_support {
namespace {

using sassafraswick::monotonic_clock;
using std::chrono::milliseconds;

constexpr std::size_t kKindCount = 12;

std::string InstanceSuffix(std::size_t instance) {
  return "0-" + std::to_string(instance);
}

/// A fault in effect, and the index of the instance or proxy that it affects.
struct active_fault {
  fault_event event;
  std::size_t process_index = 0;
};

/// State of a running schedule.
struct schedule_state {
  fleet& target;
  std::mt19937_64 random;
  bool instance_killed = false;
};

active_fault InjectFault(schedule_state& state, const fault_event& event) {
  fleet& target = state.target;
  active_fault active{event, target.FindPrimary()};
  const std::size_t primary =
      std::min(active.process_index, fleet::kInstances - 1);
  const std::size_t replica = (primary + 1 + state.random() % 2) % 3;
  const std::size_t proxy = state.random() % target.ProxyCount();
  active.process_index = primary;
  switch (event.kind) {
    case fault_kind::kPausePrimary:
      target.Instance(0, primary).Signal(SIGSTOP);
      break;
    case fault_kind::kKillPrimary:
      target.Instance(0, primary).Kill();
      state.instance_killed = true;
      break;
    case fault_kind::kPauseReplica:
      active.process_index = replica;
      target.Instance(0, replica).Signal(SIGSTOP);
      break;
    case fault_kind::kCutReplication:
      target.SendFaultCommand("drop replication-" + InstanceSuffix(replica) +
                              " to");
      break;
    case fault_kind::kMutePrimary:
      target.SendFaultCommand("drop target-" + InstanceSuffix(primary) +
                              " from");
      break;
    case fault_kind::kHidePrimary:
      target.SendFaultCommand("drop target-" + InstanceSuffix(primary) + " to");
      break;
    case fault_kind::kIsolatePrimary:
      target.SetInstanceSetting(0, primary, "isolated", 1);
      break;
    case fault_kind::kPauseProxy:
      active.process_index = proxy;
      target.Proxy(proxy).Signal(SIGSTOP);
      break;
    case fault_kind::kKillProxy:
      active.process_index = proxy;
      target.Proxy(proxy).Kill();
      break;
    case fault_kind::kStoreOutage:
      target.ConfigurePlatform(R"({"outage":1})");
      break;
    case fault_kind::kSlowReplica:
      active.process_index = replica;
      target.SetInstanceSetting(0, replica, "apply_delay_ms", 300);
      break;
    case fault_kind::kJitter:
      for (std::size_t i = 0; i < fleet::kInstances; ++i) {
        target.SendFaultCommand("jitter target-" + InstanceSuffix(i) + " 30");
        target.SendFaultCommand("jitter replication-" + InstanceSuffix(i) +
                                " 30");
      }
      break;
  }
  return active;
}

void RemoveFault(schedule_state& state, const active_fault& active) {
  fleet& target = state.target;
  switch (active.event.kind) {
    case fault_kind::kPausePrimary:
    case fault_kind::kPauseReplica:
      target.Instance(0, active.process_index).Signal(SIGCONT);
      break;
    case fault_kind::kIsolatePrimary:
      target.SetInstanceSetting(0, active.process_index, "isolated", 0);
      break;
    case fault_kind::kPauseProxy:
      target.Proxy(active.process_index).Signal(SIGCONT);
      break;
    case fault_kind::kKillProxy:
      target.StartProxy(active.process_index);
      break;
    case fault_kind::kStoreOutage:
      target.ConfigurePlatform(R"({"outage":0})");
      break;
    case fault_kind::kSlowReplica:
      target.SetInstanceSetting(0, active.process_index, "apply_delay_ms", 0);
      break;
    case fault_kind::kKillPrimary:
      break;
    default:
      target.HealAll();
  }
}

/// Injects and removes each fault at its time; faults may overlap.
void RunFaults(schedule_state& state, const std::vector<fault_event>& events,
               milliseconds length) {
  const sassafraswick::time_point start = monotonic_clock::now();
  std::vector<active_fault> active;
  std::size_t next = 0;
  while (monotonic_clock::now() - start < length || !active.empty()) {
    const milliseconds now = std::chrono::duration_cast<milliseconds>(
        monotonic_clock::now() - start);
    if (next < events.size() && events[next].at <= now) {
      active.push_back(InjectFault(state, events[next++]));
    }
    for (const active_fault& each : active) {
      if (each.event.at + each.event.length <= now) {
        RemoveFault(state, each);
      }
    }
    std::erase_if(active, [now](const active_fault& each) {
      return each.event.at + each.event.length <= now;
    });
    Pause(milliseconds(10));
  }
}

}  // namespace

std::string FaultName(fault_kind kind) {
  constexpr std::array<const char*, kKindCount> kNames{
      "pause-primary", "kill-primary", "pause-replica",   "cut-replication",
      "mute-primary",  "hide-primary", "isolate-primary", "pause-proxy",
      "kill-proxy",    "store-outage", "slow-replica",    "jitter"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<fault_event> GenerateSchedule(std::uint64_t seed,
                                          milliseconds length) {
  std::mt19937_64 random(seed);
  std::vector<fault_event> events;
  bool instance_killed = false;
  const std::size_t count = 2 + random() % 3;
  for (std::size_t i = 0; i < count; ++i) {
    fault_event event;
    event.kind = static_cast<fault_kind>(random() % kKindCount);
    const bool kills_primary = event.kind == fault_kind::kKillPrimary;
    // Killing a second instance would leave no majority, so that no write could
    // be acknowledged. Other schedules already cover that.
    if (kills_primary && instance_killed) {
      event.kind = fault_kind::kStoreOutage;
    }
    instance_killed = instance_killed || kills_primary;
    event.at = milliseconds(
        200 + random() % static_cast<std::uint64_t>(length.count() * 6 / 10));
    event.length = milliseconds(200 + random() % 2000);
    events.push_back(event);
  }
  std::sort(events.begin(), events.end(),
            [](const fault_event& left, const fault_event& right) {
              return left.at < right.at;
            });
  return events;
}

schedule_report RunSchedule(std::uint64_t seed, const fleet_options& options,
                            milliseconds length) {
  schedule_report report;
  fleet target(options);
  workload_options load_options;
  if (!target.WaitReady() ||
      !PrepareTables(target, load_options.organisation, load_options.clients)) {
    throw std::runtime_error("fleet did not become ready");
  }
  const std::vector<fault_event> events = GenerateSchedule(seed, length);
  for (const fault_event& event : events) {
    report.faults += FaultName(event.kind) + "@" +
                     std::to_string(event.at.count()) + "+" +
                     std::to_string(event.length.count()) + " ";
  }
  std::printf("seed %llu in %s: %s\n", static_cast<unsigned long long>(seed),
              target.Directory().c_str(), report.faults.c_str());
  schedule_state state{target, std::mt19937_64(seed + 1)};
  workload clients(target, load_options, seed);
  clients.Start();
  RunFaults(state, events, length);
  target.HealAll();
  Pause(milliseconds(500));
  report.violations = CheckHistory(clients.Finish());
  report.operations = clients.Counts();
  return report;
}

}  // namespace test_support
