#include <cstdio>

#include "test/support/fault_schedule.h"
#include "test/support/seed_runs.h"

/// @file
/// Runs many seeded fault schedules, several in parallel, and checks the
/// recorded history of each.

namespace {

using test_support::schedule_report;

int RunSeed(std::uint64_t seed, std::chrono::milliseconds length) {
  const schedule_report report =
      test_support::RunSchedule(seed, test_support::fleet_options(), length);
  std::printf(
      "seed %llu: writes %llu done, %llu not run, %llu unknown; reads "
      "%llu done, %llu failed; %s\n",
      static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(report.operations.writes_done),
      static_cast<unsigned long long>(report.operations.writes_not_run),
      static_cast<unsigned long long>(report.operations.writes_unknown),
      static_cast<unsigned long long>(report.operations.reads_done),
      static_cast<unsigned long long>(report.operations.reads_failed),
      test_support::Describe(report.violations).c_str());
  return report.violations.Total() == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return test_support::RunSeedRange(
      argc, argv, "Seeded fault schedules over real processes", RunSeed);
}
