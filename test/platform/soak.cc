#include "test/platform/soak.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <vector>

#include "test/platform/line_workload.h"
#include "test/platform/process_faults.h"
#include "test/platform/standin_platform.h"

namespace test_platform {
namespace {

using sassafraswick::monotonic_clock;
using sassafraswick::time_point;
using std::chrono::milliseconds;
using test_support::Pause;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kCallers = 6;
/// Time to acquire the failover lease, observation period of its new holder,
/// and a margin.
constexpr milliseconds kWarmUpTime(2000);
/// Time after the faults within which every gateway must serve again: a lease
/// of 3 s, 4 s until a primary counts as cut off if only one replica responds,
/// a promotion, and a margin.
constexpr milliseconds kRecoveryTimeout(15'000);

/// Lifetime of an instance's entry in the store: three heartbeats and a margin.
constexpr milliseconds kEntryLifetime(3600);
/// Time of a promotion, for half of the seeds.
constexpr milliseconds kPromotionDelay(400);

/// A fault in progress.
struct active_fault {
  time_point ends_at;
  std::function<void()> stop;
};

/// Sources of the choices for each list of kinds.
struct fault_sources {
  std::mt19937_64 common;
  std::mt19937_64 lost;
  std::mt19937_64 process;
  /// Apart from the others, whose faults stay the same for each seed.
  std::mt19937_64 late;
};

void SetFlag(standin_platform& platform, std::size_t index,
             bool group_instance::*flag, bool value) {
  platform.Group().Modify(
      index, [flag, value](group_instance& each) { each.*flag = value; });
}

std::function<void()> StartFlagFault(standin_platform& platform,
                                     std::size_t index,
                                     bool group_instance::*flag) {
  SetFlag(platform, index, flag, true);
  return [&platform, index, flag] { SetFlag(platform, index, flag, false); };
}

std::size_t RandomReplica(standin_platform& platform, std::mt19937_64& random) {
  return (platform.Group().PrimaryIndex() + 1 + random() % 2) % 3;
}

std::function<void()> StartLinkFault(standin_platform& platform,
                                     const std::string& link_name,
                                     const std::string& command,
                                     const std::string& argument) {
  platform.SendFaultCommand(command + " " + link_name +
                            (argument.empty() ? "" : " " + argument));
  return [&platform, link_name] {
    platform.SendFaultCommand("heal " + link_name);
  };
}

std::string TargetLinkName(std::size_t index) {
  return "target-" + std::to_string(index);
}

const std::array<fault_kind, 16> kFaultKinds{{
    {"crash-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       const std::size_t index = platform.Group().PrimaryIndex();
       platform.Crash(index);
       return std::function<void()>(
           [&platform, index] { platform.Restart(index); });
     }},
    {"dark-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return StartFlagFault(platform, platform.Group().PrimaryIndex(),
                             &group_instance::unresponsive);
     }},
    {"deaf-replica",
     [](standin_platform& platform, std::mt19937_64& random) {
       return StartFlagFault(platform, RandomReplica(platform, random),
                             &group_instance::not_receiving);
     }},
    {"hide-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return StartLinkFault(platform,
                             TargetLinkName(platform.Group().PrimaryIndex()),
                             "drop", "to");
     }},
    {"mute-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return StartLinkFault(platform,
                             TargetLinkName(platform.Group().PrimaryIndex()),
                             "drop", "from");
     }},
    {"cut-replica",
     [](standin_platform& platform, std::mt19937_64& random) {
       return StartLinkFault(platform,
                             TargetLinkName(RandomReplica(platform, random)),
                             "cut", "");
     }},
    {"jitter",
     [](standin_platform& platform, std::mt19937_64& random) {
       return StartLinkFault(platform, TargetLinkName(random() % 3), "jitter",
                             "40");
     }},
    {"release-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       const std::size_t index = platform.Group().PrimaryIndex();
       platform.SetDraining(index, true);
       return std::function<void()>(
           [&platform, index] { platform.SetDraining(index, false); });
     }},
    {"store-down",
     [](standin_platform& platform, std::mt19937_64&) {
       platform.Store().SetDown(true);
       return std::function<void()>(
           [&platform] { platform.Store().SetDown(false); });
     }},
    {"store-restored",
     [](standin_platform& platform, std::mt19937_64&) {
       platform.Store().MakeCopy();
       return std::function<void()>([&platform] { platform.RestoreStore(); });
     }},
    {"store-cut",
     [](standin_platform& platform, std::mt19937_64& random) {
       return StartLinkFault(platform,
                             "store-" + std::to_string(random() % kGateways),
                             "cut", "");
     }},
    {"store-mute",
     [](standin_platform& platform, std::mt19937_64& random) {
       return StartLinkFault(platform,
                             "store-" + std::to_string(random() % kGateways),
                             "drop", "from");
     }},
    {"pause-gateway",
     [](standin_platform& platform, std::mt19937_64& random) {
       const std::size_t index = random() % kGateways;
       platform.Gateway(index).Signal(SIGSTOP);
       return std::function<void()>(
           [&platform, index] { platform.Gateway(index).Signal(SIGCONT); });
     }},
    {"kill-gateway",
     [](standin_platform& platform, std::mt19937_64& random) {
       const std::size_t index = random() % kGateways;
       platform.Gateway(index).Kill();
       return std::function<void()>(
           [&platform, index] { platform.RestartGateway(index); });
     }},
    {"stop-gateway",
     [](standin_platform& platform, std::mt19937_64& random) {
       const std::size_t index = random() % kGateways;
       platform.Gateway(index).Signal(SIGCONT);
       platform.Gateway(index).Signal(SIGTERM);
       return std::function<void()>([&platform, index] {
         platform.Gateway(index).Kill();
         platform.RestartGateway(index);
       });
     }},
    {"new-configuration",
     [](standin_platform& platform, std::mt19937_64&) {
       platform.PublishConfiguration(platform.ConfiguredVersion() + 3,
                                     "\"key-one\"");
       return std::function<void()>([] {});
     }},
}};

/// Faults that leave connections to the store without responses. They are drawn
/// apart from `kFaultKinds`, whose faults stay the same for each seed.
const std::array<fault_kind, 3> kLostResponseKinds{{
    {"none", [](standin_platform&,
                std::mt19937_64&) { return std::function<void()>([] {}); }},
    {"store-silent",
     [](standin_platform& platform, std::mt19937_64&) {
       platform.Store().SetSilent(true);
       return std::function<void()>(
           [&platform] { platform.Store().SetSilent(false); });
     }},
    {"lost-watches",
     [](standin_platform& platform, std::mt19937_64&) {
       platform.Store().LoseWaitingWatches();
       return std::function<void()>([] {});
     }},
}};

/// A fault that is to be started.
struct scheduled_fault {
  milliseconds start{0};
  const fault_kind* kind = nullptr;
  /// Source of the fault's further choices.
  std::mt19937_64* random = nullptr;
};

/// Generates start times and kinds of faults. Faults may overlap.
/// @param sources Draw faults of `kFaultKinds`, one fault of
/// `kLostResponseKinds`, one or two of `ProcessFaults` and, for half of the
/// seeds, late orders.
std::vector<scheduled_fault> GenerateFaults(fault_sources& sources,
                                            milliseconds fault_period) {
  std::mt19937_64& random = sources.common;
  std::mt19937_64& lost = sources.lost;
  constexpr std::size_t kMinFaults = 2;
  constexpr std::size_t kFaultCountRange = 4;
  const std::uint64_t period = static_cast<std::uint64_t>(fault_period.count());
  std::vector<std::pair<milliseconds, std::size_t>> draws;
  const std::size_t count = kMinFaults + random() % kFaultCountRange;
  for (std::size_t i = 0; i < count; ++i) {
    draws.emplace_back(random() % period, random() % kFaultKinds.size());
  }
  std::sort(draws.begin(), draws.end());
  std::vector<scheduled_fault> schedule;
  schedule.reserve(count + 4);
  for (const std::pair<milliseconds, std::size_t>& each : draws) {
    schedule.push_back({each.first, &kFaultKinds.at(each.second), &random});
  }
  const milliseconds lost_start(lost() % period);
  schedule.push_back(
      {lost_start, &kLostResponseKinds.at(lost() % kLostResponseKinds.size()),
       &lost});
  const std::vector<fault_kind>& changes = ProcessFaults();
  const std::size_t change_count = 1 + sources.process() % 2;
  for (std::size_t i = 0; i < change_count; ++i) {
    const milliseconds start(sources.process() % period);
    schedule.push_back({start, &changes.at(sources.process() % changes.size()),
                        &sources.process});
  }
  if (sources.late() % 2 == 0) {
    const milliseconds start(sources.late() % period);
    schedule.push_back({start, &LateOrders(), &sources.late});
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const scheduled_fault& left, const scheduled_fault& right) {
        return left.start < right.start;
      });
  return schedule;
}

/// Starts and ends the scheduled faults; returns once all have ended.
/// @return Description of the faults.
std::string RunFaults(standin_platform& platform, fault_sources& sources,
                      milliseconds fault_period) {
  std::string description;
  std::vector<active_fault> active;
  const std::vector<scheduled_fault> schedule =
      GenerateFaults(sources, fault_period);
  std::size_t next = 0;
  const time_point start = monotonic_clock::now();
  while (next < schedule.size() || !active.empty()) {
    const time_point now = monotonic_clock::now();
    if (next < schedule.size() && now - start >= schedule[next].start) {
      const scheduled_fault& fault = schedule[next];
      const milliseconds fault_duration(300 + (*fault.random)() % 2500);
      active.push_back(
          {now + fault_duration, fault.kind->start(platform, *fault.random)});
      description += std::string(fault.kind->name) + "@" +
                     std::to_string(fault.start.count()) + "+" +
                     std::to_string(fault_duration.count()) + " ";
      ++next;
    }
    for (active_fault& each : active) {
      if (now >= each.ends_at) {
        each.stop();
        each.stop = nullptr;
      }
    }
    std::erase_if(
        active, [](const active_fault& each) { return each.stop == nullptr; });
    Pause(milliseconds(5));
  }
  return description;
}

void CountOrders(standin_platform& platform, soak_report& report) {
  constexpr milliseconds kLate(1000);
  for (const promotion_request& each : platform.PromotionRequests()) {
    const bool is_late =
        each.done_at.has_value() && *each.done_at - each.received_at >= kLate;
    report.orders += each.accepted ? 1 : 0;
    report.late_orders += is_late ? 1 : 0;
  }
}

}  // namespace

soak_report RunSoak(std::uint64_t seed, milliseconds fault_period) {
  soak_report report;
  constexpr std::uint64_t kProcessSalt = 0x5eed'0000'0000'0000;
  constexpr std::uint64_t kLateSalt = 0x1a7e'0000'0000'0000;
  fault_sources sources{std::mt19937_64(seed), std::mt19937_64(~seed),
                        std::mt19937_64(seed ^ kProcessSalt),
                        std::mt19937_64(seed ^ kLateSalt)};
  standin_options options;
  options.gateways = kGateways;
  options.with_faults = true;
  options.replica_lag = milliseconds(20);
  options.entry_lifetime = kEntryLifetime;
  options.promotion_delay =
      sources.process() % 2 == 0 ? milliseconds(0) : kPromotionDelay;
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    throw std::runtime_error("gateways did not become ready");
  }
  line_workload callers(platform, kGateways, kCallers, seed);
  callers.Start();
  Pause(kWarmUpTime);
  report.faults = RunFaults(platform, sources, fault_period);
  for (std::size_t i = 0; i < kGateways; ++i) {
    report.stuck_gateways +=
        WaitUntilServing(platform, i, kRecoveryTimeout) ? 0 : 1;
  }
  callers.Stop();
  test_support::history recorded = callers.Take();
  AddFinalState(platform, kCallers, recorded);
  report.violations = CheckHistory(recorded);
  for (const test_support::write_record& write : recorded.writes) {
    const bool done = write.result == test_support::outcome::kAcknowledged;
    const bool not_run = write.result == test_support::outcome::kNotRun;
    report.writes_done += done ? 1 : 0;
    report.writes_not_run += not_run ? 1 : 0;
    report.writes_unknown += !done && !not_run ? 1 : 0;
  }
  CountOrders(platform, report);
  report.reads_done = recorded.reads.size();
  report.reads_failed = callers.FailedReads();
  const time_point first =
      recorded.reads.empty() ? time_point() : recorded.reads.front().start;
  for (const test_support::read_record& read : FindStaleReads(recorded)) {
    report.details +=
        "; stale read of item " + std::to_string(read.key) + ": value " +
        std::to_string(read.value) + ", kind " +
        std::to_string(static_cast<int>(read.kind)) + ", own value " +
        std::to_string(read.token_value) + ", from " +
        std::to_string((read.start - first) / milliseconds(1)) + " to " +
        std::to_string((read.end - first) / milliseconds(1)) + " ms";
  }
  if (!report.Passed()) {
    platform.KeepDirectory();
    report.details += "; logs in " + platform.Directory();
  }
  return report;
}

std::string Describe(const soak_report& report) {
  return report.faults + ": writes " + std::to_string(report.writes_done) +
         " done, " + std::to_string(report.writes_not_run) + " not run, " +
         std::to_string(report.writes_unknown) + " unknown; reads " +
         std::to_string(report.reads_done) + " done, " +
         std::to_string(report.reads_failed) + " failed; orders " +
         std::to_string(report.orders) + ", late " +
         std::to_string(report.late_orders) + "; " +
         test_support::Describe(report.violations) + ", stuck gateways " +
         std::to_string(report.stuck_gateways) + report.details;
}

}  // namespace test_platform
