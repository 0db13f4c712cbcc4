#include <cstdio>

#include "test/platform/soak.h"
#include "test/support/seed_runs.h"

/// @file
/// Runs many seeds of random faults against gateway processes on a simulated
/// platform, several in parallel, and checks the responses to callers.

namespace {

int RunSeed(std::uint64_t seed, std::chrono::milliseconds length) {
  const test_platform::soak_report report =
      test_platform::RunSoak(seed, length);
  std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
              test_platform::Describe(report).c_str());
  return report.Passed() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return test_support::RunSeedRange(
      argc, argv, "Seeded faults against gateway processes", RunSeed);
}
