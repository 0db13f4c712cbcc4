#ifndef TEST_SUPPORT_SEED_RUNS_H_
#define TEST_SUPPORT_SEED_RUNS_H_

#include <chrono>
#include <cstdint>
#include <functional>

/// @file
/// Plays many seeds, several at a time, each in a process of its own.

namespace test_support {

/// What the command line of a program that plays seeds says.
struct seed_range {
  std::uint64_t first = 1;
  std::uint64_t count = 8;
  std::uint64_t parallel = 4;
  std::chrono::milliseconds length{4000};
};

/// Plays one seed.
/// @return 0 if it kept every promise, 1 if it broke one, 2 if it could not
/// run.
using seed_runner =
    std::function<int(std::uint64_t seed, std::chrono::milliseconds length)>;

/// Reads the command line and plays the seeds.
/// @return The program's exit code.
[[nodiscard]] int RunSeedRange(int argc, char** argv, const char* description,
                               const seed_runner& run_seed);

}  // namespace test_support

#endif  // TEST_SUPPORT_SEED_RUNS_H_
