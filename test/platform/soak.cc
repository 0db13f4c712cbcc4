#include "test/platform/soak.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <vector>

#include "test/platform/line_workload.h"
#include "test/platform/standin_platform.h"

namespace test_platform {
namespace {

using sassafraswick::monotonic_clock;
using sassafraswick::time_point;
using std::chrono::milliseconds;
using test_support::Pause;
using test_support::WaitFor;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kCallers = 6;
/// Rest of a new holder of the failover lease, with its lease and a margin.
constexpr milliseconds kSettle(2000);
/// Time after the faults in which every gateway has to serve again: a lease of
/// 3 s, a lone replica's patience of 4 s, a promotion, and a margin.
constexpr milliseconds kPatience(15'000);

/// A fault under way: what ends it, and when.
struct active_fault {
  time_point ends;
  std::function<void()> end;
};

/// One kind of fault.
struct fault_recipe {
  const char* name;
  /// Begins the fault.
  /// @return What ends it.
  std::function<void()> (*begin)(standin_platform& platform,
                                 std::mt19937_64& random);
};

void SetAll(standin_platform& platform, std::size_t index,
            bool group_instance::*what, bool value) {
  platform.Group().With(
      index, [what, value](group_instance& each) { each.*what = value; });
}

std::function<void()> Mark(standin_platform& platform, std::size_t index,
                           bool group_instance::*what) {
  SetAll(platform, index, what, true);
  return [&platform, index, what] { SetAll(platform, index, what, false); };
}

std::size_t Other(standin_platform& platform, std::mt19937_64& random) {
  return (platform.Group().PrimaryIndex() + 1 + random() % 2) % 3;
}

std::function<void()> FaultLink(standin_platform& platform,
                                const std::string& link,
                                const std::string& verb,
                                const std::string& rest) {
  platform.Fault(verb + " " + link + (rest.empty() ? "" : " " + rest));
  return [&platform, link] { platform.Fault("heal " + link); };
}

std::string TargetLink(std::size_t index) {
  return "target-" + std::to_string(index);
}

const std::array<fault_recipe, 15> kRecipes{{
    {"crash-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       const std::size_t index = platform.Group().PrimaryIndex();
       platform.Crash(index);
       return std::function<void()>(
           [&platform, index] { platform.Restart(index); });
     }},
    {"dark-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return Mark(platform, platform.Group().PrimaryIndex(),
                   &group_instance::dark);
     }},
    {"deaf-replica",
     [](standin_platform& platform, std::mt19937_64& random) {
       return Mark(platform, Other(platform, random), &group_instance::deaf);
     }},
    {"hide-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return FaultLink(platform, TargetLink(platform.Group().PrimaryIndex()),
                        "drop", "to");
     }},
    {"mute-primary",
     [](standin_platform& platform, std::mt19937_64&) {
       return FaultLink(platform, TargetLink(platform.Group().PrimaryIndex()),
                        "drop", "from");
     }},
    {"cut-replica",
     [](standin_platform& platform, std::mt19937_64& random) {
       return FaultLink(platform, TargetLink(Other(platform, random)), "cut",
                        "");
     }},
    {"jitter",
     [](standin_platform& platform, std::mt19937_64& random) {
       return FaultLink(platform, TargetLink(random() % 3), "jitter", "40");
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
    {"store-cut",
     [](standin_platform& platform, std::mt19937_64& random) {
       return FaultLink(platform,
                        "store-" + std::to_string(random() % kGateways), "cut",
                        "");
     }},
    {"store-mute",
     [](standin_platform& platform, std::mt19937_64& random) {
       return FaultLink(platform,
                        "store-" + std::to_string(random() % kGateways), "drop",
                        "from");
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
       platform.Configure(platform.ConfiguredVersion() + 3, "\"key-one\"");
       return std::function<void()>([] {});
     }},
}};

/// Draws what happens when; faults come in series and overlap.
std::vector<std::pair<milliseconds, std::size_t>> DrawFaults(
    std::mt19937_64& random, milliseconds length) {
  constexpr std::size_t kLeast = 2;
  constexpr std::size_t kMore = 4;
  std::vector<std::pair<milliseconds, std::size_t>> drawn;
  const std::size_t count = kLeast + random() % kMore;
  for (std::size_t i = 0; i < count; ++i) {
    drawn.emplace_back(random() % static_cast<std::uint64_t>(length.count()),
                       random() % kRecipes.size());
  }
  std::sort(drawn.begin(), drawn.end());
  return drawn;
}

/// Plays the faults and ends them all.
std::string PlayFaults(standin_platform& platform, std::mt19937_64& random,
                       milliseconds length) {
  std::string told;
  std::vector<active_fault> active;
  const std::vector<std::pair<milliseconds, std::size_t>> drawn =
      DrawFaults(random, length);
  std::size_t next = 0;
  const time_point start = monotonic_clock::now();
  while (next < drawn.size() || !active.empty()) {
    const time_point now = monotonic_clock::now();
    if (next < drawn.size() && now - start >= drawn[next].first) {
      const fault_recipe& recipe = kRecipes.at(drawn[next].second);
      const milliseconds span(300 + random() % 2500);
      active.push_back({now + span, recipe.begin(platform, random)});
      told += std::string(recipe.name) + "@" +
              std::to_string(drawn[next].first.count()) + "+" +
              std::to_string(span.count()) + " ";
      ++next;
    }
    for (active_fault& each : active) {
      if (now >= each.ends) {
        each.end();
        each.end = nullptr;
      }
    }
    std::erase_if(active,
                  [](const active_fault& each) { return each.end == nullptr; });
    Pause(milliseconds(5));
  }
  return told;
}

/// Waits until a gateway serves a write.
bool Serves(const standin_platform& platform, std::size_t gateway) {
  int number = 0;
  return WaitFor(kPatience, [&platform, gateway, &number] {
    line_client client(platform.CallerPort(gateway));
    client.Start("counter", "key-one");
    return client
        .Run("WRITE after" + std::to_string(gateway) + " " +
             std::to_string(++number))
        .starts_with("COMPLETE");
  });
}

/// Adds what the primary's log holds in the end.
void AddFinalState(standin_platform& platform, test_support::history& seen) {
  seen.rows_per_write = 2;
  for (const log_entry& entry :
       platform.Group().Log(platform.Group().PrimaryIndex())) {
    for (std::uint64_t caller = 0; caller < kCallers; ++caller) {
      const bool first = entry.item == ItemOf(caller, false);
      if (!first && entry.item != ItemOf(caller, true)) {
        continue;
      }
      const std::uint64_t value = std::stoull(entry.data);
      ++seen.final_rows[RowOf(caller, value)];
      if (first) {
        seen.final_values[caller] = value;
      }
    }
  }
}

}  // namespace

soak_report RunSoak(std::uint64_t seed, milliseconds length) {
  soak_report report;
  std::mt19937_64 random(seed);
  standin_options options;
  options.gateways = kGateways;
  options.with_faults = true;
  options.replica_lag = milliseconds(20);
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    throw std::runtime_error("gateways did not become ready");
  }
  line_workload callers(platform, kGateways, kCallers, seed);
  callers.Start();
  Pause(kSettle);
  report.faults = PlayFaults(platform, random, length);
  for (std::size_t i = 0; i < kGateways; ++i) {
    report.stuck_gateways += Serves(platform, i) ? 0 : 1;
  }
  callers.Stop();
  test_support::history seen = callers.Take();
  AddFinalState(platform, seen);
  report.broken = CheckHistory(seen);
  for (const test_support::write_record& write : seen.writes) {
    const bool done = write.result == test_support::outcome::kAcknowledged;
    const bool not_run = write.result == test_support::outcome::kNotRun;
    report.writes_done += done ? 1 : 0;
    report.writes_not_run += not_run ? 1 : 0;
    report.writes_unknown += !done && !not_run ? 1 : 0;
  }
  report.reads_done = seen.reads.size();
  report.reads_failed = callers.FailedReads();
  const time_point first =
      seen.reads.empty() ? time_point() : seen.reads.front().start;
  for (const test_support::read_record& read : FindStaleReads(seen)) {
    report.details +=
        "; stale read of item " + std::to_string(read.key) + ": value " +
        std::to_string(read.value) + ", kind " +
        std::to_string(static_cast<int>(read.kind)) + ", own value " +
        std::to_string(read.token_value) + ", from " +
        std::to_string((read.start - first) / milliseconds(1)) + " to " +
        std::to_string((read.end - first) / milliseconds(1)) + " ms";
  }
  if (!report.Kept()) {
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
         std::to_string(report.reads_failed) + " failed; " +
         test_support::Describe(report.broken) + ", stuck gateways " +
         std::to_string(report.stuck_gateways) + report.details;
}

}  // namespace test_platform
