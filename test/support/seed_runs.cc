#include "test/support/seed_runs.h"

#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

namespace test_support {
namespace {

int PlayGuarded(const seed_player& player, std::uint64_t seed,
                std::chrono::milliseconds length) {
  try {
    return player(seed, length);
  } catch (const std::exception& failure) {
    std::printf("seed %llu: run failed: %s\n",
                static_cast<unsigned long long>(seed), failure.what());
    return 2;
  }
}

/// Waits for one run.
/// @return Its exit code; 2 if a signal ended it.
int Collect() {
  int status = 0;
  wait(&status);
  if (WIFSIGNALED(status)) {
    std::printf("a run was ended by signal %d\n", WTERMSIG(status));
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 2;
}

}  // namespace

int PlaySeeds(int argc, char** argv, const char* description,
              const seed_player& player) {
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
    return PlayGuarded(player, range.first, range.length);
  }
  std::uint64_t running = 0;
  std::uint64_t next = range.first;
  int broken = 0;
  int failed = 0;
  while (next < range.first + range.count || running > 0) {
    if (next < range.first + range.count && running < range.parallel) {
      const std::uint64_t seed = next++;
      if (fork() == 0) {
        const int outcome = PlayGuarded(player, seed, range.length);
        std::fflush(stdout);
        _exit(outcome);
      }
      ++running;
      continue;
    }
    const int code = Collect();
    --running;
    broken += code == 1 ? 1 : 0;
    failed += code == 2 ? 1 : 0;
  }
  std::printf("%llu seeds: %d broke a promise, %d could not run\n",
              static_cast<unsigned long long>(range.count), broken, failed);
  return broken + failed == 0 ? 0 : 1;
}

}  // namespace test_support
