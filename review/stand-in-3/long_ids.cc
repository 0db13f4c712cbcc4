#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "review/stand-in-3/record.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// A crowd of callers, each of which begins one transaction by a message whose
/// identifier is long, and then rests. Records the memory of the gateway.

namespace {

using test_platform::line_client;
using test_platform::standin_options;
using test_platform::standin_platform;

/// `memory_mb` and `max_fds` of the small deployment.
constexpr std::uint64_t kMemoryMb = 260;
constexpr std::uint64_t kKilobytesPerMegabyte = 1024;
constexpr std::size_t kSessions = 800;
/// Below `max_body_bytes` (262,144) and far below 1 MiB.
constexpr std::size_t kLongIdBytes = 250'000;
constexpr std::size_t kShortIdBytes = 16;
constexpr std::size_t kSessionsPerLine = 50;
/// `rate_per_s` and `burst` of an organisation of the small deployment.
constexpr std::int64_t kRate = 113;
/// Pause before each session, which keeps the crowd inside the rate.
constexpr std::chrono::milliseconds kPause(11);

int Run(const std::string& program, review::record& record) {
  const bool trouble = review::HasTrouble();
  standin_options options;
  options.programs = {program};
  options.limited_rate = kRate;
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    record.Write("the gateway did not become ready");
    return review::kCouldNotRun;
  }
  const std::size_t id_bytes = trouble ? kLongIdBytes : kShortIdBytes;
  std::vector<std::unique_ptr<line_client>> crowd;
  std::uint64_t peak_kb = platform.Gateway(0).ResidentKilobytes();
  std::size_t begun = 0;
  record.Write("resident memory before: " + std::to_string(peak_kb) + " kB");
  for (std::size_t i = 0; i < kSessions; ++i) {
    test_support::Pause(kPause);
    crowd.push_back(std::make_unique<line_client>(platform.CallerPort(0)));
    line_client& caller = *crowd.back();
    const std::string greeting = caller.Start("counter", "key-three");
    std::string id = std::to_string(i);
    id.resize(id_bytes, 'x');
    caller.Send("QUERY " + id + " BEGIN");
    const std::string answer = caller.ReadLine();
    const std::string state = caller.ReadLine();
    begun += state.starts_with("READY T") ? 1 : 0;
    const std::uint64_t resident_kb = platform.Gateway(0).ResidentKilobytes();
    peak_kb = std::max(peak_kb, resident_kb);
    if (i % kSessionsPerLine == 0 || i + 1 == kSessions) {
      record.Write("session " + std::to_string(i) +
                   ": sent START, QUERY with "
                   "an identifier of " +
                   std::to_string(id_bytes) + " bytes and BEGIN; answered '" +
                   greeting + "', '" + answer.substr(0, 60) + "', '" +
                   state.substr(0, 60) + "'; resident memory of the gateway " +
                   std::to_string(resident_kb) + " kB");
    }
  }
  line_client ordinary(platform.CallerPort(0));
  const std::string greeting = ordinary.Start("counter", "key-one");
  record.Write("ordinary caller: '" + greeting + "', '" +
               ordinary.Run("WRITE a b") + "'");
  record.Write(std::to_string(begun) +
               " transactions begun; peak resident "
               "memory " +
               std::to_string(peak_kb) + " kB, limit " +
               std::to_string(kMemoryMb * kKilobytesPerMegabyte) + " kB");
  return peak_kb > kMemoryMb * kKilobytesPerMegabyte ? review::kBroken
                                                     : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::record record(argv[2]);
  return Run(argv[1], record);
}
