#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

#include "sassafraswick/config/ini.h"
#include "test/benchmark/report.h"
#include "test/benchmark/traffic.h"

/// @file
/// Runs a scenario on a fleet of real processes, checks the history and writes
/// a report. Exits with 0 only if no consistency guarantee and no rate limit
/// was violated.

namespace benchmark {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Keys and values of one INI section.
using ini_values = std::map<std::string, std::string>;

ini_values LoadSection(const std::string& path) {
  ini_values values;
  const sassafraswick::result<std::string> text = sassafraswick::ReadFile(path);
  if (!text) {
    throw std::runtime_error(text.error().message);
  }
  const sassafraswick::result<std::vector<sassafraswick::ini_section>>
      sections = sassafraswick::ParseIni(text.value(), path);
  if (!sections) {
    throw std::runtime_error(sections.error().message);
  }
  for (const sassafraswick::ini_entry& entry :
       sections.value().front().entries) {
    values[entry.key] = entry.value;
  }
  return values;
}

milliseconds Span(const ini_values& values, const std::string& key) {
  return std::chrono::duration_cast<milliseconds>(
      sassafraswick::ParseDuration(values.at(key)).value());
}

std::size_t Count(const ini_values& values, const std::string& key) {
  return std::stoul(values.at(key));
}

test_support::fleet_options FleetOptions(const ini_values& deployment,
                                         const ini_values& scenario) {
  test_support::fleet_options options;
  options.proxies = Count(deployment, "proxies");
  options.zones = Count(deployment, "zones");
  options.groups = Count(deployment, "groups");
  options.slots = static_cast<std::uint32_t>(Count(deployment, "slots"));
  options.connections =
      static_cast<std::uint32_t>(Count(deployment, "connections"));
  options.link_delay = Span(deployment, "one_way_delay");
  options.organisations.clear();
  for (std::size_t i = 0; i < Count(scenario, "organisations"); ++i) {
    options.organisations[OrganisationName(i)] =
        "rate = " + scenario.at("rate") + "\nburst = " + scenario.at("burst");
  }
  return options;
}

void CreateTables(test_support::fleet& target, std::size_t groups,
                  std::size_t keys) {
  for (std::size_t group = 0; group < groups; ++group) {
    const std::size_t primary = target.FindPrimary(group);
    test_support::pg_client client(target.InstanceUrl(primary, group));
    client.Query("CREATE TABLE counters (id bigint primary key, v bigint)");
    client.Query("CREATE TABLE entries (n bigint)");
    for (std::size_t i = 0; i < keys; ++i) {
      client.Query("INSERT INTO counters VALUES (" + std::to_string(i) +
                   ", 0)");
    }
  }
}

/// Reads the final rows of all groups directly from their primaries.
void ReadFinalState(test_support::fleet& target, std::size_t groups,
                    test_support::history& recorded) {
  for (std::size_t group = 0; group < groups; ++group) {
    test_support::pg_client client(
        target.InstanceUrl(target.FindPrimary(group), group));
    for (const std::vector<std::optional<std::string>>& row :
         client.Query("SELECT n FROM entries").rows) {
      ++recorded.final_rows[std::stoull(row[0].value_or("0"))];
    }
    for (const std::vector<std::optional<std::string>>& row :
         client.Query("SELECT id, v FROM counters").rows) {
      std::uint64_t& value =
          recorded.final_values[std::stoull(row[0].value_or("0"))];
      value = std::max<std::uint64_t>(value, std::stoull(row[1].value_or("0")));
    }
  }
}

/// Sums a counter over all hosts and pools.
std::uint64_t SumCounts(test_support::fleet& target, const char* name) {
  std::uint64_t sum = 0;
  std::istringstream lines(target.RunControlTool({"--json", "status"}));
  std::string line;
  while (std::getline(lines, line)) {
    boost::system::error_code invalid;
    const json::value status = json::parse(line, invalid);
    if (invalid) {
      continue;
    }
    for (const json::key_value_pair& pool : status.at("pools").as_object()) {
      sum += pool.value().at(name).to_number<std::uint64_t>();
    }
  }
  return sum;
}

void RunEvent(test_support::fleet& target, const std::string& event,
              milliseconds length) {
  test_support::Pause(length / 3);
  if (event == "primary_loss") {
    target.Instance(0, target.FindPrimary(0)).Kill();
  } else if (event == "store_outage") {
    target.ConfigurePlatform(R"({"outage":1})");
  } else if (event == "rolling_restart") {
    for (std::size_t i = 0; i < target.ProxyCount(); ++i) {
      target.Proxy(i).Signal(SIGTERM);
      target.Proxy(i).Wait(milliseconds(35'000));
      target.StartProxy(i);
      test_support::Pause(milliseconds(300));
    }
  }
  test_support::Pause(length * 2 / 3);
  if (event == "store_outage") {
    target.ConfigurePlatform(R"({"outage":0})");
  }
}

json::object ReportObject(const measurements& found,
                          const test_support::violation_counts& violations) {
  return {
      {"offered", found.offered},
      {"done", found.done},
      {"refused_over_rate", found.over_rate},
      {"failed", found.failed},
      {"reads_served_by_replicas", found.replica_read_fraction},
      {"reads_that_replicas_could_serve", found.replica_eligible_fraction},
      {"reads_served_by_replicas_baseline", 0.0},
      {"longest_write_gap_ms", found.failover_gap_ms},
      {"worst_served_organisation", found.worst_served},
      {"worst_served_organisation_even_split", found.worst_served_even_split},
      {"wrongful_refusals", found.wrongful_refusals},
      {"wrongful_refusals_even_split", found.wrongful_refusals_even_split},
      {"worst_excess_over_limit", found.worst_excess},
      {"latency_p50_ms", found.latency_p50_ms},
      {"latency_p95_ms", found.latency_p95_ms},
      {"latency_p99_ms", found.latency_p99_ms},
      {"broken_promises", violations.Total()},
      {"broken_promises_text", test_support::Describe(violations)}};
}

int Run(const std::string& directory, const std::string& scenario_name,
        const std::string& deployment_name, const std::string& report_path,
        std::uint64_t seed) {
  const ini_values scenario =
      LoadSection(directory + "/scenarios/" + scenario_name + ".ini");
  const ini_values deployment =
      LoadSection(directory + "/deployments/" + deployment_name + ".ini");
  test_support::fleet target(FleetOptions(deployment, scenario));
  if (!target.WaitReady()) {
    throw std::runtime_error("fleet did not become ready");
  }
  traffic_options options;
  options.organisations = Count(scenario, "organisations");
  options.rate = std::stod(scenario.at("rate")) *
                 std::stod(scenario.at("offered_percent")) / 100;
  options.greedy_multiple = std::stod(scenario.at("greedy_multiple"));
  options.groups = Count(deployment, "groups");
  options.seed = seed;
  options.lag = Span(scenario, "apply_delay");
  CreateTables(target, options.groups, options.organisations * 3);
  for (std::size_t i = 0; i < options.groups * 3; ++i) {
    target.SetInstanceSetting(i / 3, i % 3, "apply_delay_ms",
                              Span(scenario, "apply_delay").count());
  }
  test_support::Pause(milliseconds(2000));
  std::printf("fleet is ready; starting traffic\n");
  traffic offered(target, options);
  offered.Start();
  RunEvent(target, scenario.at("event"), Span(scenario, "length"));
  offered.Stop();
  test_support::history recorded = offered.TakeHistory();
  ReadFinalState(target, options.groups, recorded);
  const test_support::violation_counts violations =
      test_support::CheckHistory(recorded);
  const scenario_limit limit{std::stod(scenario.at("rate")),
                             std::stod(scenario.at("burst"))};
  measurements found = ComputeMeasurements(offered.OfferedStatements(), limit,
                                           options, target.ProxyCount());
  const double replica =
      static_cast<double>(SumCounts(target, "reads_on_replica"));
  const double primary =
      static_cast<double>(SumCounts(target, "reads_on_primary"));
  found.replica_read_fraction = replica / std::max(replica + primary, 1.0);
  json::object report = ReportObject(found, violations);
  report["scenario"] = scenario_name;
  report["deployment"] = deployment_name;
  report["seed"] = seed;
  json::object failures;
  for (const offered_statement& each : offered.OfferedStatements()) {
    if (each.failed) {
      json::value& count = failures[each.failure];
      count = count.is_null() ? 1 : count.as_int64() + 1;
    }
  }
  report["failures"] = std::move(failures);
  const std::string text = json::serialize(report);
  std::printf("%s\n%s", text.c_str(), PlotText(found).c_str());
  if (!report_path.empty()) {
    std::ofstream(report_path) << text << "\n";
    std::ofstream(report_path + ".txt") << PlotText(found);
  }
  const bool passed = violations.Total() == 0 && found.worst_excess <= 0;
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace benchmark

int main(int argc, char** argv) {
  CLI::App app("Runs a scenario on a fleet of real processes");
  std::string scenario;
  std::string deployment = "workshop";
  std::string report;
  std::string directory = "test/benchmark";
  std::uint64_t seed = 1;
  app.add_option("scenario", scenario)->required();
  app.add_option("--deployment", deployment);
  app.add_option("--report", report);
  app.add_option("--directory", directory);
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  try {
    return benchmark::Run(directory, scenario, deployment, report, seed);
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "%s\n", failure.what());
    return 2;
  }
}
