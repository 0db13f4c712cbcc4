#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

#include "review/stand-in-2/small_deployment.h"

/// @file
/// A primary crashes, and the holder of the failover lease is cut off from the
/// platform just before it orders the promotion.

namespace {

using review::caller;
using review::case_record;
using review::promotion_order;
using review::small_deployment;
using std::chrono::milliseconds;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kPrimary = 0;
/// Time for which an order is held up: less than the 4 s after which the
/// gateway's TCP_USER_TIMEOUT would end a connection behind a partition.
constexpr milliseconds kHeld(3700);
constexpr milliseconds kTimeout(10'000);

/// Writes through a gateway until `stopping`, so that it notices the crash.
void Write(case_record& record, small_deployment& deployment,
           std::size_t gateway, const std::atomic<bool>& stopping) {
  while (!stopping) {
    caller client(record, deployment.CallerPort(gateway),
                  "client-" + std::to_string(gateway));
    bool open = client.Start("counter", "key-one", false).starts_with("READY");
    while (open && !stopping) {
      open = !client.Run("WRITE portrait-1 oak", false).empty();
      test_support::Pause(milliseconds(20));
    }
  }
}

/// Crashes the primary soon after the holder has renewed its lease, and cuts
/// the holder off once it has opened the connection for its order.
/// @return False if the holder sent no order into the cut.
bool CrashAndCut(case_record& record, small_deployment& deployment) {
  const std::size_t holder = deployment.FailoverHolder();
  const milliseconds before = deployment.LastRenewal();
  const std::size_t connections = deployment.OrderConnections(holder);
  if (!test_support::WaitFor(
          kTimeout, [&] { return deployment.LastRenewal() > before; })) {
    return false;
  }
  record.Add("gateway " + std::to_string(holder) +
             " renewed the failover lease");
  test_support::Pause(milliseconds(350));
  deployment.Crash(kPrimary);
  const bool prepares = test_support::WaitFor(kTimeout, [&] {
    return deployment.OrderConnections(holder) > connections;
  });
  if (!prepares || !review::HasTrouble()) {
    return prepares;
  }
  test_support::Pause(milliseconds(100));
  deployment.Cut(holder);
  record.Add("cut: gateway " + std::to_string(holder) +
             " is cut off from the platform");
  const bool is_held = test_support::WaitFor(milliseconds(3000), [&] {
    return deployment.HeldSince() >= milliseconds(0);
  });
  if (is_held) {
    test_support::Pause(deployment.HeldSince() + kHeld - record.Now());
  }
  deployment.Heal();
  record.Add("cut: healed");
  return is_held;
}

int Run(case_record& record, const std::string& directory) {
  small_deployment deployment(record, directory, kGateways);
  deployment.Configure(1, {{"gallery", {"key-one"}}});
  if (!deployment.Start()) {
    return review::kCouldNotRun;
  }
  const bool has_holder = test_support::WaitFor(kTimeout, [&] {
    return deployment.FailoverHolder() != small_deployment::kNone &&
           deployment.LastRenewal() >= milliseconds(0);
  });
  if (!has_holder) {
    return review::kCouldNotRun;
  }
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] { Write(record, deployment, i, stopping); });
  }
  test_support::Pause(milliseconds(2000));
  const bool ran = CrashAndCut(record, deployment);
  test_support::Pause(milliseconds(3000));
  stopping = true;
  for (std::thread& each : callers) {
    each.join();
  }
  if (!ran) {
    return review::kCouldNotRun;
  }
  std::uint64_t highest = 0;
  int stale = 0;
  for (const promotion_order& each : deployment.Orders()) {
    if (each.token < highest) {
      ++stale;
      record.Add("rule: the order of " + each.holder + " with token " +
                 std::to_string(each.token) + " came after one with token " +
                 std::to_string(highest));
    }
    highest = std::max(highest, each.token);
  }
  std::cout << stale << " stale orders of " << deployment.Orders().size()
            << "\n";
  return stale > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
