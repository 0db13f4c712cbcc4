#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "sassafraswick/core/simple_token_bucket.h"
#include "test/benchmark/plot.h"
#include "test/benchmark/quantile.h"
#include "test/platform/open_loop_load.h"
#include "test/platform/standin_platform.h"

/// @file
/// Measures gateway processes on a simulated platform against the deployment's
/// requirements: `failover` (duration and phases of the write outage after the
/// loss of a primary), `replicas` (fraction of reads that replicas serve) and
/// `organisations` (service of one organisation while another sends up to ten
/// times as much).

namespace {

using benchmark::plotted_series;
using benchmark::Quantile;
using sassafraswick::monotonic_clock;
using sassafraswick::time_point;
using std::chrono::milliseconds;
using test_platform::group_instance;
using test_platform::load_record;
using test_platform::open_loop_load;
using test_platform::standin_options;
using test_platform::standin_platform;
using test_support::Pause;

constexpr std::size_t kGateways = 3;
/// Time that the platform takes for a promotion, from the deployment's
/// requirements.
constexpr milliseconds kPromotionDelay(600);
/// Typical lag of replicas, from the workshop deployment's requirements.
constexpr milliseconds kTypicalReplicaLag(20);
/// Time until a gateway holds the failover lease and has monitored the primary
/// for long enough to replace it.
constexpr milliseconds kWarmUpTime(2000);
/// Longest wait for a new primary.
constexpr milliseconds kMaxPromotionWait(12'000);

/// A failure mode of a primary. The name is written to results and plots.
struct primary_loss {
  const char* name;
  void (*inject)(standin_platform& platform, std::size_t primary);
};

constexpr std::array<primary_loss, 4> kPrimaryLosses{{
    {"crashed", [](standin_platform& platform,
                   std::size_t primary) { platform.Crash(primary); }},
    {"dark",
     [](standin_platform& platform, std::size_t primary) {
       platform.Group().Modify(
           primary, [](group_instance& each) { each.unresponsive = true; });
     }},
    {"cut",
     [](standin_platform& platform, std::size_t primary) {
       platform.SendFaultCommand("drop target-" + std::to_string(primary) +
                                 " to");
     }},
    {"released",
     [](standin_platform& platform, std::size_t primary) {
       platform.SetDraining(primary, true);
     }},
}};

/// Result columns of one loss: times in milliseconds, then the fraction of
/// reads served during the outage with bounded staleness, with read-your-writes
/// consistency and by the primary.
constexpr std::array<const char*, 8> kColumns{
    "gap",       "detection",      "fence",      "wait",
    "promotion", "bounded_served", "own_served", "primary_served"};

double Milliseconds(std::chrono::nanoseconds span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns, for each phase of a replacement, when any gateway first logged it
/// at or after a time (Unix time in milliseconds).
std::map<std::string, std::int64_t> PhaseTimes(const standin_platform& platform,
                                               std::int64_t after) {
  std::map<std::string, std::int64_t> first_times;
  for (std::size_t i = 0; i < kGateways; ++i) {
    std::istringstream log(platform.GatewayLog(i));
    std::string line;
    while (std::getline(log, line)) {
      if (line.find("\"event\":\"replacement\"") == std::string::npos) {
        continue;
      }
      const boost::json::object entry = boost::json::parse(line).as_object();
      const std::int64_t at = entry.at("time_unix_ms").as_int64();
      const std::string phase(entry.at("phase").as_string());
      if (at >= after && !first_times.contains(phase)) {
        first_times[phase] = at;
      }
    }
  }
  return first_times;
}

/// Longest time without an acknowledged write in milliseconds, and its end.
std::pair<double, time_point> LongestWriteGap(
    const std::vector<load_record>& records, time_point lost_at) {
  time_point last = lost_at;
  std::pair<double, time_point> longest{0.0, lost_at};
  for (const load_record& each : records) {
    if (each.stream != 0 || !each.served || each.end < lost_at) {
      continue;
    }
    const double gap = Milliseconds(each.end - last);
    if (gap > longest.first) {
      longest = {gap, each.end};
    }
    last = each.end;
  }
  return longest;
}

/// Latency within which an operation counts as served. The objectives in the
/// deployment's requirements are 120 to 600 ms.
constexpr milliseconds kLatencyObjective(200);

/// Fraction of a stream's operations started in an interval that were served
/// within `kLatencyObjective`.
double ServedFraction(const std::vector<load_record>& records,
                      std::size_t stream, time_point from, time_point until) {
  double started = 0;
  double served = 0;
  for (const load_record& each : records) {
    if (each.stream == stream && each.start >= from && each.start < until) {
      started += 1;
      served +=
          each.served && each.end - each.start <= kLatencyObjective ? 1 : 0;
    }
  }
  return started > 0 ? served / started : 1.0;
}

/// Runs a fleet under load and makes its primary fail once.
/// @return The values of `kColumns`, separated by commas; empty if the fleet
/// did not start.
std::string MeasurePrimaryLoss(const primary_loss& loss) {
  standin_options options;
  options.gateways = kGateways;
  // With the fault proxy in between, connections to a crashed instance would be
  // accepted instead of refused.
  options.with_faults = std::string_view(loss.name) == "cut";
  options.replica_lag = kTypicalReplicaLag;
  options.promotion_delay = kPromotionDelay;
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    return {};
  }
  open_loop_load load(platform, kGateways,
                      {{"counter", "key-one", true, milliseconds(20)},
                       {"status", "key-one", false, milliseconds(25)},
                       {"workshop", "key-one", false, milliseconds(25)},
                       {"counter", "key-one", false, milliseconds(25)}});
  load.Start();
  Pause(kWarmUpTime);
  const std::size_t primary = platform.Group().PrimaryIndex();
  const time_point lost_at = monotonic_clock::now();
  const std::int64_t lost_unix = UnixMilliseconds();
  loss.inject(platform, primary);
  // Waits for the promotion and one second more, so that the end of the gap is
  // recorded.
  static_cast<void>(
      test_support::WaitFor(kMaxPromotionWait, [&platform, primary] {
        return platform.Group().PrimaryIndex() != primary;
      }));
  Pause(milliseconds(1000));
  load.Stop();
  const std::vector<load_record> records = load.Records();
  const std::pair<double, time_point> gap = LongestWriteGap(records, lost_at);
  std::map<std::string, std::int64_t> at = PhaseTimes(platform, lost_unix);
  const std::int64_t ended =
      lost_unix + static_cast<std::int64_t>(Milliseconds(gap.second - lost_at));
  std::ostringstream line;
  line << gap.first << ',' << at["fencing"] - lost_unix << ','
       << at["waiting"] - at["fencing"] << ','
       << at["promoting"] - at["waiting"] << ',' << ended - at["promoting"];
  for (const std::size_t stream : {1, 2, 3}) {
    line << ',' << ServedFraction(records, stream, lost_at, gap.second);
  }
  return line.str();
}

/// Runs a function `count` times, each in its own process, and collects the
/// lines that they return.
std::vector<std::string> RunMany(std::size_t count, std::size_t parallel,
                                 const std::function<std::string()>& run) {
  std::vector<std::string> lines;
  std::vector<int> pipes;
  const auto collect = [&lines, &pipes] {
    std::array<char, 4096> bytes{};
    const ssize_t received = read(pipes.front(), bytes.data(), bytes.size());
    close(pipes.front());
    pipes.erase(pipes.begin());
    wait(nullptr);
    if (received > 0) {
      lines.emplace_back(bytes.data(), static_cast<std::size_t>(received));
    }
  };
  for (std::size_t i = 0; i < count; ++i) {
    if (pipes.size() >= parallel) {
      collect();
    }
    std::array<int, 2> pipe_ends{};
    if (pipe(pipe_ends.data()) != 0) {
      break;
    }
    if (fork() == 0) {
      const std::string line = run();
      static_cast<void>(!write(pipe_ends[1], line.data(), line.size()));
      _exit(0);
    }
    close(pipe_ends[1]);
    pipes.push_back(pipe_ends[0]);
  }
  while (!pipes.empty()) {
    collect();
  }
  return lines;
}

std::vector<double> Split(const std::string& line) {
  std::vector<double> values;
  std::istringstream text(line);
  std::string word;
  while (std::getline(text, word, ',')) {
    values.push_back(std::stod(word));
  }
  return values;
}

int MeasureFailover(std::size_t count, std::size_t parallel,
                    const std::string& folder) {
  std::ofstream csv(folder + "/failover_gap.csv");
  csv << "way";
  for (const char* const column : kColumns) {
    csv << ',' << column;
  }
  csv << '\n';
  std::vector<plotted_series> gaps;
  for (const primary_loss& loss : kPrimaryLosses) {
    const std::vector<std::string> lines =
        RunMany(count, parallel, [&loss] { return MeasurePrimaryLoss(loss); });
    std::vector<std::vector<double>> columns(kColumns.size());
    for (const std::string& line : lines) {
      csv << loss.name << ',' << line << '\n';
      const std::vector<double> values = Split(line);
      for (std::size_t i = 0; i < values.size() && i < columns.size(); ++i) {
        columns[i].push_back(values[i]);
      }
    }
    std::printf("%s: %zu of %zu losses measured\n", loss.name, lines.size(),
                count);
    for (std::size_t i = 0; i < columns.size(); ++i) {
      std::sort(columns[i].begin(), columns[i].end());
      std::printf("  %-15s min %8.2f  median %8.2f  p90 %8.2f  max %8.2f\n",
                  kColumns.at(i), Quantile(columns[i], 0),
                  Quantile(columns[i], 0.5), Quantile(columns[i], 0.9),
                  Quantile(columns[i], 1));
    }
    std::fflush(stdout);
    gaps.push_back({loss.name, columns.front()});
  }
  return benchmark::PlotDistributions(
             folder + "/failover_gap.svg",
             "Longest time without an acknowledged write after a loss", "ms",
             gaps)
             ? 0
             : 1;
}

/// Fraction of the reads of a database that replicas serve at a given lag.
double ReplicaReadFraction(milliseconds lag, const std::string& database) {
  standin_options options;
  options.gateways = kGateways;
  options.replica_lag = lag;
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    return 0.0;
  }
  open_loop_load load(platform, kGateways,
                      {{"counter", "key-one", true, milliseconds(40)},
                       {database, "key-one", false, milliseconds(5)}});
  load.Start();
  Pause(milliseconds(10'000));
  load.Stop();
  double on_replicas = 0;
  double all = 0;
  for (std::size_t i = 0; i < platform.Group().Size(); ++i) {
    platform.Group().Modify(i, [&](group_instance& each) {
      all += static_cast<double>(each.reads);
      on_replicas += each.primary ? 0.0 : static_cast<double>(each.reads);
    });
  }
  return all > 0 ? on_replicas / all : 0.0;
}

int MeasureReplicas() {
  for (const milliseconds lag : {kTypicalReplicaLag, kTypicalReplicaLag * 60}) {
    for (const char* const database : {"status", "workshop", "counter"}) {
      std::printf("lag %lld ms, %s: replicas served %.1f%% of the reads\n",
                  static_cast<long long>(lag.count()), database,
                  100 * ReplicaReadFraction(lag, database));
      std::fflush(stdout);
    }
  }
  return 0;
}

/// Rate limit of each measured organisation.
constexpr std::int64_t kOrganisationRatePerSecond = 40;

/// Fraction of operations served, of the measured organisation and of the heavy
/// sender. `split_rate` is the fraction of the measured organisation's
/// operations that a local bucket with an equal split of the rate would have
/// admitted.
struct served_fractions {
  double measured_organisation = 0.0;
  double heavy_sender = 0.0;
  double split_rate = 0.0;
};

/// Fraction of the first stream's operations that a token bucket of rate / n at
/// one gateway would have admitted.
double SplitRateAdmittedFraction(const std::vector<load_record>& records) {
  const double rate =
      static_cast<double>(kOrganisationRatePerSecond) / kGateways;
  sassafraswick::simple_token_bucket bucket;
  double admitted = 0;
  double requested = 0;
  std::vector<time_point> starts;
  for (const load_record& each : records) {
    if (each.stream == 0) {
      starts.push_back(each.start);
    }
  }
  std::sort(starts.begin(), starts.end());
  for (const time_point start : starts) {
    requested += 1;
    admitted += TryTakeToken(bucket, rate, rate, start) ? 1 : 0;
  }
  return requested > 0 ? admitted / requested : 0.0;
}

/// Measures while one organisation sends 90% of its rate limit through one
/// gateway and another sends `heavy_factor` times as much through all gateways.
served_fractions MeasureWithHeavySender(double heavy_factor) {
  standin_options options;
  options.gateways = kGateways;
  options.limited_rate = kOrganisationRatePerSecond;
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    return {};
  }
  const std::chrono::microseconds interval(std::int64_t{10'000'000} /
                                           (kOrganisationRatePerSecond * 9));
  const std::chrono::microseconds heavy_interval(static_cast<std::int64_t>(
      static_cast<double>(interval.count()) / heavy_factor));
  open_loop_load load(platform, kGateways,
                      {{"status", "key-three", false, interval, 0},
                       {"status", "key-four", false, heavy_interval}});
  load.Start();
  Pause(milliseconds(12'000));
  load.Stop();
  const std::vector<load_record> records = load.Records();
  const time_point from = records.front().start + std::chrono::seconds(2);
  const time_point until = monotonic_clock::now();
  return {ServedFraction(records, 0, from, until),
          ServedFraction(records, 1, from, until),
          SplitRateAdmittedFraction(records)};
}

int MeasureOrganisations() {
  for (const double heavy_factor : {1.0, 7.0, 10.0}) {
    const served_fractions served = MeasureWithHeavySender(heavy_factor);
    std::printf(
        "with another that sends %.0f times as much: served %.2f%% of an "
        "organisation at 90%% of its rate through one gateway, %.1f%% of the "
        "other; buckets of rate / %zu would admit %.1f%% of the first\n",
        heavy_factor, 100 * served.measured_organisation,
        100 * served.heavy_sender, kGateways, 100 * served.split_rate);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measurements of gateways on a simulated platform");
  std::string measurement;
  std::size_t count = 50;
  std::size_t parallel = 4;
  std::string folder = "docs/measurements";
  app.add_option("what", measurement, "failover, replicas or organisations")
      ->required();
  app.add_option("--count", count, "losses per failure mode");
  app.add_option("--parallel", parallel);
  app.add_option("--folder", folder, "output directory of tables and plots");
  CLI11_PARSE(app, argc, argv);
  if (measurement == "failover") {
    return MeasureFailover(count, parallel, folder);
  }
  if (measurement == "replicas") {
    return MeasureReplicas();
  }
  if (measurement == "organisations") {
    return MeasureOrganisations();
  }
  std::fprintf(stderr, "unknown measurement %s\n", measurement.c_str());
  return 1;
}
