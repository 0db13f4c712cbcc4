#include <iostream>
#include <vector>

#include "review/stand-in-2/small_deployment.h"

/// @file
/// The operator changes the configuration three times, and the store's answer
/// to the third watch of each host is lost. Some seconds later the operator
/// takes a key away.

namespace {

using review::caller;
using review::case_record;
using review::organisation;
using review::small_deployment;
using std::chrono::milliseconds;

constexpr std::size_t kGateways = 3;
constexpr milliseconds kConfigurationApplied(3000);
constexpr milliseconds kBetweenChanges(1000);
/// Time from the lost answers to the withdrawal; longer than `contact_ms`,
/// which is 4,000 ms.
constexpr milliseconds kCalm(6000);
/// Time for which the withdrawn key is tried.
constexpr milliseconds kTried(20'000);
constexpr milliseconds kBetweenTries(500);

/// Opens a session with the key and writes.
/// @return When the write was sent; negative if it was refused.
milliseconds Try(case_record& record, small_deployment& deployment,
                 std::size_t gateway, const std::string& name,
                 const std::string& key) {
  caller client(record, deployment.CallerPort(gateway), name);
  if (!client.Start("counter", key).starts_with("READY")) {
    return milliseconds(-1);
  }
  const milliseconds sent_at = record.Now();
  const bool succeeded = review::IsSuccess(client.Run("WRITE portrait-1 oak"));
  return succeeded ? sent_at : milliseconds(-1);
}

int Run(case_record& record, const std::string& directory) {
  small_deployment deployment(record, directory, kGateways);
  std::vector<organisation> organisations = {{"gallery", {"key-1", "key-2"}}};
  std::uint64_t version = 0;
  deployment.Configure(++version, organisations);
  if (!deployment.Start()) {
    return review::kCouldNotRun;
  }
  test_support::Pause(milliseconds(4000));
  constexpr int kChanges = 3;
  for (int i = 1; i <= kChanges; ++i) {
    test_support::Pause(kBetweenChanges);
    if (i == kChanges && review::HasTrouble()) {
      deployment.LoseNextWatchAnswers();
    }
    organisations.front().keys.push_back("new-key-" + std::to_string(i));
    deployment.Configure(++version, organisations);
  }
  test_support::Pause(kCalm);
  if (review::HasTrouble() && deployment.LostAnswers() != kGateways) {
    return review::kCouldNotRun;
  }
  if (Try(record, deployment, 0, "before", "key-2") < milliseconds(0)) {
    return review::kCouldNotRun;
  }
  std::erase(organisations.front().keys, "key-2");
  const milliseconds acknowledged_at =
      deployment.Configure(++version, organisations);
  int too_late = 0;
  int number = 0;
  while (record.Now() < acknowledged_at + kTried) {
    const std::size_t gateway = static_cast<std::size_t>(number) % kGateways;
    const milliseconds ran_at = Try(
        record, deployment, gateway,
        "client-" + std::to_string(++number) + "-at-" + std::to_string(gateway),
        "key-2");
    if (ran_at > acknowledged_at + kConfigurationApplied) {
      ++too_late;
      record.Add("rule: a write ran with a dropped key, sent " +
                 std::to_string((ran_at - acknowledged_at).count()) +
                 " ms after the configuration without it was acknowledged");
    }
    test_support::Pause(kBetweenTries);
  }
  std::cout << too_late << " writes ran with a dropped key\n";
  return too_late > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
