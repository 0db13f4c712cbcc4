#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "test/benchmark/paired_comparison.h"
#include "test/benchmark/plot.h"
#include "test/support/process.h"

/// @file
/// Compares two checkouts on the users' bench: plays each day with each seed on
/// both, one right after the other, and prints means, differences and spreads.

namespace benchmark {
namespace {

struct comparison_options {
  std::string bench;
  std::string first;
  std::string second;
  std::vector<std::string> sites;
  std::vector<std::string> days;
  /// Seeds to play besides each day's own.
  std::uint64_t varied_seeds = 0;
  std::uint64_t first_seed = 1;
  bool small = false;
  std::string plot;
};

/// Values of both builds, pair by pair, by figure.
struct paired_values {
  std::map<std::string, std::vector<double>> first;
  std::map<std::string, std::vector<double>> second;
  std::uint64_t pairs_without_result = 0;
};

std::optional<run_figures> Play(const comparison_options& options,
                                const std::string& checkout,
                                const std::string& site, const std::string& day,
                                std::uint64_t seed) {
  std::string command = "cd '" + checkout + "' && '" + options.bench +
                        "' run '" + site + "' '" + day +
                        "' --why 'paired comparison'";
  if (seed != 0) {
    command += " --vary --seed " + std::to_string(seed);
  }
  if (options.small) {
    command += " --small";
  }
  int exit_code = 0;
  return ParseRun(test_support::RunCommand(command, exit_code));
}

void PlayPair(const comparison_options& options, const std::string& site,
              const std::string& day, std::uint64_t seed,
              paired_values& values) {
  const std::optional<run_figures> first =
      Play(options, options.first, site, day, seed);
  const std::optional<run_figures> second =
      Play(options, options.second, site, day, seed);
  if (!first.has_value() || !second.has_value()) {
    ++values.pairs_without_result;
    std::printf("%s %s seed %llu: no result\n", site.c_str(), day.c_str(),
                static_cast<unsigned long long>(seed));
    return;
  }
  std::printf("%s %s seed %llu: worth %.3f and %.3f\n", site.c_str(),
              day.c_str(), static_cast<unsigned long long>(seed),
              first->at("worth"), second->at("worth"));
  std::fflush(stdout);
  for (const std::pair<const std::string, double>& figure : *first) {
    const auto other = second->find(figure.first);
    if (other != second->end()) {
      values.first[figure.first].push_back(figure.second);
      values.second[figure.first].push_back(other->second);
    }
  }
}

void PrintTable(const paired_values& values) {
  std::printf(
      "\n| figure | pairs | first | second | difference | spread | |\n");
  std::printf("|---|---|---|---|---|---|---|\n");
  for (const std::pair<const std::string, std::vector<double>>& figure :
       values.first) {
    const paired_difference found =
        ComparePairs(figure.second, values.second.at(figure.first));
    std::printf("| %s | %zu | %.4f | %.4f | %+.4f | %.4f | %s |\n",
                figure.first.c_str(), found.pairs, found.first_mean,
                found.second_mean, found.difference, found.spread,
                found.stands_out ? "stands out" : "");
  }
  std::printf("pairs without result: %llu\n",
              static_cast<unsigned long long>(values.pairs_without_result));
}

int Compare(const comparison_options& options) {
  paired_values values;
  for (const std::string& site : options.sites) {
    for (const std::string& day : options.days) {
      PlayPair(options, site, day, 0, values);
      for (std::uint64_t i = 0; i < options.varied_seeds; ++i) {
        PlayPair(options, site, day, options.first_seed + i, values);
      }
    }
  }
  PrintTable(values);
  if (options.plot.empty() || values.first.empty()) {
    return EXIT_SUCCESS;
  }
  const bool written =
      PlotDistributions(options.plot, "Worth by run", "worth",
                        {{"first", values.first.at("worth")},
                         {"second", values.second.at("worth")}});
  return written ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace benchmark

int main(int argc, char** argv) {
  CLI::App app{"Compares two checkouts on the users' bench"};
  benchmark::comparison_options options;
  app.add_option("--bench", options.bench, "path of the bench")->required();
  app.add_option("--first", options.first, "checkout of the first build")
      ->required();
  app.add_option("--second", options.second, "checkout of the second build")
      ->required();
  app.add_option("--site", options.sites, "site files")->required();
  app.add_option("--day", options.days, "names of days")->required();
  app.add_option("--seeds", options.varied_seeds,
                 "varied runs of each day besides its own");
  app.add_option("--first-seed", options.first_seed, "first varied seed");
  app.add_flag("--small", options.small, "play small twins of large days");
  app.add_option("--plot", options.plot, "SVG file for the worths");
  CLI11_PARSE(app, argc, argv);
  return benchmark::Compare(options);
}
