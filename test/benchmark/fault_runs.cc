#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "test/support/fault_schedule.h"

/// @file
/// Runs many seeded fault schedules, several at a time, and checks each
/// history.

namespace {

using test_support::schedule_report;

int RunSeed(std::uint64_t seed, std::chrono::milliseconds length) {
  try {
    const schedule_report report =
        test_support::RunSchedule(seed, test_support::fleet_options(), length);
    std::printf(
        "seed %llu: writes %llu done, %llu not run, %llu unknown; reads "
        "%llu done, %llu failed; %s\n",
        static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(report.work.writes_done),
        static_cast<unsigned long long>(report.work.writes_not_run),
        static_cast<unsigned long long>(report.work.writes_unknown),
        static_cast<unsigned long long>(report.work.reads_done),
        static_cast<unsigned long long>(report.work.reads_failed),
        test_support::Describe(report.broken).c_str());
    return report.broken.Total() == 0 ? 0 : 1;
  } catch (const std::exception& failure) {
    std::printf("seed %llu: run failed: %s\n",
                static_cast<unsigned long long>(seed), failure.what());
    return 2;
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Seeded fault schedules over real processes");
  std::uint64_t first = 1;
  std::uint64_t count = 8;
  std::uint64_t parallel = 4;
  std::uint64_t length_ms = 4000;
  app.add_option("--first", first);
  app.add_option("--count", count);
  app.add_option("--parallel", parallel);
  app.add_option("--length-ms", length_ms);
  CLI11_PARSE(app, argc, argv);
  if (count == 1) {
    return RunSeed(first, std::chrono::milliseconds(length_ms));
  }
  std::uint64_t running = 0;
  std::uint64_t next = first;
  int broken = 0;
  int failed = 0;
  while (next < first + count || running > 0) {
    if (next < first + count && running < parallel) {
      const std::uint64_t seed = next++;
      if (fork() == 0) {
        const int outcome = RunSeed(seed, std::chrono::milliseconds(length_ms));
        std::fflush(stdout);
        _exit(outcome);
      }
      ++running;
      continue;
    }
    int status = 0;
    wait(&status);
    --running;
    const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 2;
    if (WIFSIGNALED(status)) {
      std::printf("a run was ended by signal %d\n", WTERMSIG(status));
    }
    broken += code == 1 ? 1 : 0;
    failed += code == 2 ? 1 : 0;
  }
  std::printf("%llu schedules: %d broke a promise, %d could not run\n",
              static_cast<unsigned long long>(count), broken, failed);
  return broken + failed == 0 ? 0 : 1;
}
