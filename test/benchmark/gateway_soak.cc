#include <cstdio>

#include "test/platform/soak.h"
#include "test/support/seed_runs.h"

/// @file
/// Plays many seeds of faults over real gateways before the stand-in of the
/// users' platform, several at a time, and checks what callers saw.

namespace {

int RunSeed(std::uint64_t seed, std::chrono::milliseconds length) {
  const test_platform::soak_report report =
      test_platform::RunSoak(seed, length);
  std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
              test_platform::Describe(report).c_str());
  return report.Kept() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return test_support::RunSeedRange(
      argc, argv, "Seeded faults over gateways as real processes", RunSeed);
}
