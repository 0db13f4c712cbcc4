#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "review/stand-in-2/small_deployment.h"

/// @file
/// Many callers begin a transaction and then rest in it. The message that
/// begins it has a legal size: the identifier of the statement is long. As the
/// platform does, the case kills a gateway whose memory exceeds its limit, and
/// starts it again; the callers connect again.

namespace {

using review::caller;
using review::case_record;
using review::small_deployment;
using std::chrono::milliseconds;

constexpr std::size_t kGateways = 2;
constexpr std::uint64_t kMemoryKilobytes = 266'240;
/// Ends of a process, on two machines, that make a day count nothing.
constexpr int kEndsThatCount = 3;
constexpr milliseconds kLength(60'000);
/// Less than a quarter of the sessions that a gateway accepts.
constexpr int kCallers = 800;
constexpr milliseconds kRefusedPause(300);
constexpr std::size_t kLongIdentifier = 250'000;
constexpr std::size_t kUsualIdentifier = 16;

/// One gateway and its callers.
struct machine {
  std::atomic<int> ends{0};
  std::atomic<int> resting{0};
  std::uint64_t peak = 0;
  /// Changes when the process was started again.
  std::atomic<int> start{0};
};

std::string MakeIdentifier(int number) {
  const std::string text = std::to_string(number);
  const std::size_t size =
      review::HasTrouble() ? kLongIdentifier : kUsualIdentifier;
  return std::string(size - text.size(), 'a') + text;
}

/// Opens a session and begins a transaction, again after a refusal.
/// @return Null if the connection ended.
std::unique_ptr<caller> Rest(case_record& record, std::uint16_t port,
                             const std::string& key, int number,
                             const std::atomic<bool>& stopping) {
  constexpr int kRecordedEach = 100;
  const bool is_recorded = number % kRecordedEach == 0;
  std::unique_ptr<caller> client =
      std::make_unique<caller>(record, port, MakeIdentifier(number));
  bool open = client->IsOpen() &&
              client->Start("workshop", key, is_recorded).starts_with("READY");
  while (open && !stopping) {
    const std::string answer = client->Run("BEGIN", is_recorded);
    if (review::IsSuccess(answer)) {
      return client;
    }
    open = !answer.empty();
    test_support::Pause(kRefusedPause);
  }
  return nullptr;
}

/// Adds one resting caller after the other; after a restart, begins anew.
void KeepResting(case_record& record, small_deployment& deployment,
                 std::size_t gateway, machine& state,
                 const std::atomic<bool>& stopping) {
  const std::string key = "key-" + std::to_string(gateway);
  std::vector<std::unique_ptr<caller>> callers;
  int start = state.start;
  while (!stopping) {
    if (state.start != start) {
      start = state.start;
      callers.clear();
    }
    state.resting = static_cast<int>(callers.size());
    if (callers.size() >= kCallers) {
      test_support::Pause(milliseconds(20));
      continue;
    }
    std::unique_ptr<caller> client =
        Rest(record, deployment.CallerPort(gateway), key,
             static_cast<int>(callers.size()), stopping);
    if (client != nullptr) {
      callers.push_back(std::move(client));
    } else {
      test_support::Pause(milliseconds(50));
    }
  }
}

/// Does what the platform does with a process that exceeds its memory.
void CheckMemory(case_record& record, small_deployment& deployment,
                 std::size_t gateway, machine& state) {
  const std::uint64_t resident =
      deployment.Process(gateway).ResidentKilobytes();
  state.peak = std::max(state.peak, resident);
  if (resident <= kMemoryKilobytes) {
    return;
  }
  ++state.ends;
  record.Add("platform: gateway " + std::to_string(gateway) + " holds " +
             std::to_string(resident) + " kB for " +
             std::to_string(state.resting) +
             " resting callers, more than 260 MB; it is killed and started "
             "again");
  deployment.Process(gateway).Kill();
  deployment.StartGateway(gateway);
  static_cast<void>(deployment.WaitReady(gateway));
  ++state.start;
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
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kGateways; ++i) {
    threads.emplace_back([&, i] {
      KeepResting(record, deployment, i, machines.at(i), stopping);
    });
  }
  const milliseconds end = record.Now() + kLength;
  const auto is_over = [&machines] {
    return std::all_of(
        machines.begin(), machines.end(),
        [](const machine& each) { return each.ends >= kEndsThatCount; });
  };
  milliseconds reported = record.Now();
  while (record.Now() < end && !is_over()) {
    test_support::Pause(milliseconds(10));
    const bool reports = record.Now() - reported >= milliseconds(1000);
    reported = reports ? record.Now() : reported;
    for (std::size_t i = 0; i < kGateways; ++i) {
      CheckMemory(record, deployment, i, machines.at(i));
      if (reports) {
        record.Add("gateway " + std::to_string(i) + " holds " +
                   std::to_string(deployment.Process(i).ResidentKilobytes()) +
                   " kB for " + std::to_string(machines.at(i).resting) +
                   " resting callers");
      }
    }
  }
  stopping = true;
  for (std::thread& each : threads) {
    each.join();
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    const std::string text = "gateway " + std::to_string(i) + ": ended " +
                             std::to_string(machines.at(i).ends) +
                             " times, most memory " +
                             std::to_string(machines.at(i).peak) + " kB";
    record.Add(text);
    std::cout << text << "\n";
  }
  return is_over() ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
