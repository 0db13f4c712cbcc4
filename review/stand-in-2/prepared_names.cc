#include <signal.h>

#include <array>
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>

#include "review/stand-in-2/small_deployment.h"

/// @file
/// Callers prepare, execute and deallocate one statement after the other, each
/// under a new, long name. As the platform does, the case kills a gateway whose
/// memory exceeds its limit, and starts it again.

namespace {

using review::caller;
using review::case_record;
using review::small_deployment;
using std::chrono::milliseconds;

constexpr std::size_t kGateways = 2;
constexpr std::uint64_t kMemoryKilobytes = 266'240;
/// Ends of a process, on two machines, that make a day count nothing.
constexpr int kEndsThatCount = 3;
constexpr milliseconds kLength(80'000);
/// Below the 262,144 bytes of `max_body_bytes`.
constexpr std::size_t kNameBytes = 200'000;

/// One gateway and the caller that uses it.
struct machine {
  std::atomic<int> ends{0};
  std::atomic<int> operations{0};
  std::atomic<std::uint64_t> peak{0};
};

std::string MakeName(int number) {
  const std::string text = std::to_string(number);
  return "s" + std::string(kNameBytes - text.size(), 'x') + text;
}

/// Sends one operation after the other until `stopping`.
void Call(case_record& record, small_deployment& deployment,
          std::size_t gateway, machine& state,
          const std::atomic<bool>& stopping) {
  const std::string name = "client-" + std::to_string(gateway);
  const std::string key = "key-" + std::to_string(gateway);
  int number = 0;
  while (!stopping) {
    caller client(record, deployment.CallerPort(gateway), name);
    bool open =
        client.IsOpen() && client.Start("status", key).starts_with("READY");
    while (open && !stopping) {
      const std::string statement =
          MakeName(review::HasTrouble() ? ++number : 0);
      const bool recorded = state.operations % 100 == 0;
      const std::string prepared =
          client.Run("PREPARE " + statement + " READ q2c", recorded);
      const std::string executed =
          client.Run("EXECUTE " + statement + " portrait-1", recorded);
      const std::string ended = client.Run("DEALLOCATE " + statement, recorded);
      open = !prepared.empty() && !executed.empty() && !ended.empty();
      ++state.operations;
    }
    test_support::Pause(milliseconds(200));
  }
}

int Run(case_record& record, const std::string& directory) {
  small_deployment deployment(record, directory, kGateways);
  deployment.Configure(1, {{"gallery", {"key-0"}}, {"workshop", {"key-1"}}});
  if (!deployment.Start()) {
    return review::kCouldNotRun;
  }
  test_support::Pause(milliseconds(2000));
  std::array<machine, kGateways> machines;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back(
        [&, i] { Call(record, deployment, i, machines.at(i), stopping); });
  }
  const milliseconds end = record.Now() + kLength;
  const auto is_over = [&machines] {
    bool over = true;
    for (const machine& each : machines) {
      over = over && each.ends >= kEndsThatCount;
    }
    return over;
  };
  milliseconds reported = record.Now();
  while (record.Now() < end && !is_over()) {
    test_support::Pause(milliseconds(20));
    const bool reports = record.Now() - reported >= milliseconds(2000);
    reported = reports ? record.Now() : reported;
    for (std::size_t i = 0; i < kGateways; ++i) {
      machine& state = machines.at(i);
      const std::uint64_t resident = deployment.Process(i).ResidentKilobytes();
      state.peak = std::max<std::uint64_t>(state.peak, resident);
      if (reports) {
        record.Add("gateway " + std::to_string(i) + " holds " +
                   std::to_string(resident) + " kB after " +
                   std::to_string(state.operations) + " operations");
      }
      if (resident > kMemoryKilobytes) {
        ++state.ends;
        record.Add("platform: gateway " + std::to_string(i) + " holds " +
                   std::to_string(resident) +
                   " kB, more than 260 MB; it is killed and started again");
        deployment.Process(i).Kill();
        deployment.StartGateway(i);
        static_cast<void>(deployment.WaitReady(i));
      }
    }
  }
  stopping = true;
  for (std::thread& each : callers) {
    each.join();
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    const machine& state = machines.at(i);
    const std::string text = "gateway " + std::to_string(i) + ": " +
                             std::to_string(state.operations) +
                             " operations, peak " + std::to_string(state.peak) +
                             " kB, ended " + std::to_string(state.ends) +
                             " times";
    record.Add(text);
    std::cout << text << "\n";
  }
  return is_over() ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
