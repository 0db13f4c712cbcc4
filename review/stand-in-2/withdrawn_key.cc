#include <iostream>

#include "review/stand-in-2/small_deployment.h"

/// @file
/// A caller's key is withdrawn while its transaction is open, and the caller
/// goes on with the transaction.

namespace {

using review::caller;
using review::case_record;
using review::small_deployment;
using std::chrono::milliseconds;

constexpr milliseconds kConfigurationApplied(3000);
/// Pause between two statements; shorter than `tx_idle_ms`.
constexpr milliseconds kPause(900);
constexpr int kReads = 7;

int Run(case_record& record, const std::string& directory) {
  small_deployment deployment(record, directory, 3);
  deployment.Configure(1, {{"gallery", {"key-one", "key-two"}}});
  if (!deployment.Start()) {
    return review::kCouldNotRun;
  }
  test_support::Pause(milliseconds(2000));
  caller client(record, deployment.CallerPort(0), "client");
  const bool began = client.Start("counter", "key-two").starts_with("READY") &&
                     review::IsSuccess(client.Run("BEGIN")) &&
                     review::IsSuccess(client.Run("WRITE portrait-1 oak"));
  if (!began) {
    return review::kCouldNotRun;
  }
  milliseconds acknowledged_at = record.Now();
  if (review::HasTrouble()) {
    acknowledged_at = deployment.Configure(2, {{"gallery", {"key-one"}}});
  }
  int ran_too_late = 0;
  const auto run = [&](const std::string& text) {
    const milliseconds sent_at = record.Now();
    const bool succeeded = review::IsSuccess(client.Run(text));
    const bool is_late = sent_at > acknowledged_at + kConfigurationApplied;
    if (review::HasTrouble() && succeeded && is_late) {
      ++ran_too_late;
      record.Add("rule: " + client.LastId() + " ran with a dropped key, sent " +
                 std::to_string((sent_at - acknowledged_at).count()) +
                 " ms after the configuration without it was acknowledged");
    }
  };
  for (int i = 0; i < kReads; ++i) {
    test_support::Pause(kPause);
    run("READ portrait-1");
  }
  run("WRITE portrait-2 walnut");
  run("COMMIT");
  // Shows that the configuration is in force at this gateway.
  caller second(record, deployment.CallerPort(0), "second");
  second.Start("counter", "key-two");
  std::cout << ran_too_late << " statements ran with a dropped key\n";
  return ran_too_late > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
