#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "review/stand-in-3/record.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// One caller that prepares, executes and deallocates statements under long
/// names, one after the other. Records the memory of the gateway.

namespace {

using test_platform::line_client;
using test_platform::standin_options;
using test_platform::standin_platform;

/// `memory_mb` of the small deployment.
constexpr std::uint64_t kMemoryMb = 260;
constexpr std::uint64_t kKilobytesPerMegabyte = 1024;
constexpr std::size_t kRounds = 1400;
/// Below `max_body_bytes` (262,144) and far below 1 MiB.
constexpr std::size_t kLongNameBytes = 250'000;
constexpr std::size_t kShortNameBytes = 16;
constexpr std::size_t kRoundsPerLine = 100;
constexpr std::size_t kRecordedBytes = 60;
/// `rate_per_s` and `burst` of an organisation of the small deployment.
constexpr std::int64_t kRate = 113;
/// Pause before each round, which keeps the caller inside the rate.
constexpr std::chrono::milliseconds kPause(10);

int Run(const std::string& program, review::record& record) {
  const std::size_t name_bytes =
      review::HasTrouble() ? kLongNameBytes : kShortNameBytes;
  standin_options options;
  options.programs = {program};
  options.limited_rate = kRate;
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    record.Write("the gateway did not become ready");
    return review::kCouldNotRun;
  }
  line_client caller(platform.CallerPort(0));
  record.Write("START answered '" + caller.Start("counter", "key-three") + "'");
  std::uint64_t peak_kb = platform.Gateway(0).ResidentKilobytes();
  record.Write("resident memory before: " + std::to_string(peak_kb) + " kB");
  for (std::size_t i = 0; i < kRounds; ++i) {
    test_support::Pause(kPause);
    std::string name = "s" + std::to_string(i) + "-";
    name.resize(name_bytes, 'x');
    const std::string prepared = caller.Run("PREPARE " + name + " READ q2c");
    const std::string executed = caller.Run("EXECUTE " + name + " item");
    const std::string dropped = caller.Run("DEALLOCATE " + name);
    const std::uint64_t resident_kb = platform.Gateway(0).ResidentKilobytes();
    peak_kb = std::max(peak_kb, resident_kb);
    if (i % kRoundsPerLine == 0 || i + 1 == kRounds) {
      record.Write(review::Join(
          {"round ", std::to_string(i), ": name of ",
           std::to_string(name_bytes), " bytes; PREPARE '",
           prepared.substr(0, kRecordedBytes), "', EXECUTE '",
           executed.substr(0, kRecordedBytes), "', DEALLOCATE '",
           dropped.substr(0, kRecordedBytes), "'; resident memory ",
           std::to_string(resident_kb), " kB"}));
    }
  }
  const std::uint64_t limit_kb = kMemoryMb * kKilobytesPerMegabyte;
  record.Write("peak resident memory " + std::to_string(peak_kb) +
               " kB, limit " + std::to_string(limit_kb) + " kB");
  return peak_kb > limit_kb ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::record record(argv[2]);
  return Run(argv[1], record);
}
