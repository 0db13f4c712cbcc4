#ifndef TEST_SUPPORT_SEED_RUNS_H_
#define TEST_SUPPORT_SEED_RUNS_H_

#include <chrono>
#include <cstdint>
#include <functional>

/// @file
/// Runs many seeds, several in parallel, each in its own process.

namespace test_support {

/// Command-line options of a program that runs seeds.
struct seed_range {
  std::uint64_t first = 1;
  std::uint64_t count = 8;
  std::uint64_t parallel = 4;
  std::chrono::milliseconds length{4000};
};

/// Runs one seed.
/// @return 0 if no invariant was violated, 1 if one was, 2 if the run failed.
using seed_runner =
    std::function<int(std::uint64_t seed, std::chrono::milliseconds length)>;

/// Parses the command line and runs the seeds.
/// @return The program's exit code.
[[nodiscard]] int RunSeedRange(int argc, char** argv, const char* description,
                               const seed_runner& run_seed);

}  // namespace test_support

#endif  // TEST_SUPPORT_SEED_RUNS_H_
