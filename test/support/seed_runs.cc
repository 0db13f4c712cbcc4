#include "test/support/seed_runs.h"

#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

namespace test_support {
namespace {

int RunCatchingErrors(const seed_runner& run_seed, std::uint64_t seed,
                      std::chrono::milliseconds length) {
  try {
    return run_seed(seed, length);
  } catch (const std::exception& failure) {
    std::printf("seed %llu: run failed: %s\n",
                static_cast<unsigned long long>(seed), failure.what());
    return 2;
  }
}

/// Waits for any of the running processes.
/// @return Its exit code, or 2 if a signal ended it.
int WaitForRun() {
  int status = 0;
  wait(&status);
  if (WIFSIGNALED(status)) {
    std::printf("a run was ended by signal %d\n", WTERMSIG(status));
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 2;
}

}  // namespace

int RunSeedRange(int argc, char** argv, const char* description,
                 const seed_runner& run_seed) {
  CLI::App app(description);
  seed_range range;
  std::int64_t length_ms = range.length.count();
  app.add_option("--first", range.first);
  app.add_option("--count", range.count);
  app.add_option("--parallel", range.parallel);
  app.add_option("--length-ms", length_ms);
  CLI11_PARSE(app, argc, argv);
  range.length = std::chrono::milliseconds(length_ms);
  if (range.count == 1) {
    return RunCatchingErrors(run_seed, range.first, range.length);
  }
  std::uint64_t running = 0;
  std::uint64_t next = range.first;
  int violating = 0;
  int failed = 0;
  while (next < range.first + range.count || running > 0) {
    if (next < range.first + range.count && running < range.parallel) {
      const std::uint64_t seed = next++;
      if (fork() == 0) {
        const int outcome = RunCatchingErrors(run_seed, seed, range.length);
        std::fflush(stdout);
        _exit(outcome);
      }
      ++running;
      continue;
    }
    const int code = WaitForRun();
    --running;
    violating += code == 1 ? 1 : 0;
    failed += code == 2 ? 1 : 0;
  }
  std::printf("%llu seeds: %d violated an invariant, %d failed to run\n",
              static_cast<unsigned long long>(range.count), violating, failed);
  return violating + failed == 0 ? 0 : 1;
}

}  // namespace test_support
