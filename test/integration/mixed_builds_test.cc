#include <signal.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "test/platform/line_workload.h"
#include "test/platform/standin_platform.h"

/// @file
/// Runs hosts of this build and of an earlier one side by side, as during an
/// upgrade and a rollback. The environment variable SASSAFRASWICK_OLD_GATEWAY
/// names the earlier program; without it, all hosts run this build, and only
/// the restarts are tested.

namespace test_platform {
namespace {

using std::chrono::milliseconds;
using test_support::Pause;

constexpr std::size_t kGateways = 6;
constexpr std::size_t kCallers = 8;
constexpr std::uint64_t kSeed = 11;
/// Time to stop, start and serve again.
constexpr milliseconds kTimeout(15'000);
/// Time for which the hosts serve together after a change.
constexpr milliseconds kServingTime(1500);

std::string EarlierProgram() {
  const char* const path = std::getenv("SASSAFRASWICK_OLD_GATEWAY");
  if (path == nullptr) {
    std::cout << "mixed builds: SASSAFRASWICK_OLD_GATEWAY is not set, "
                 "all hosts run this build\n";
  }
  return path == nullptr ? GatewayProgram() : path;
}

/// A fleet whose instances accept fewer connections than there are hosts.
standin_options SharingFleet(const std::string& earlier) {
  standin_options options;
  options.gateways = kGateways;
  options.max_connections = kGateways - 1;
  options.limits_connections = true;
  options.zones = 3;
  options.settings_lines = "[connections]\nshared = auto\n";
  for (std::size_t i = 0; i < kGateways; ++i) {
    options.programs.push_back(i % 2 == 0 ? GatewayProgram() : earlier);
  }
  return options;
}

/// Waits until the first gateway knows as lenders exactly the hosts that run
/// this build.
bool WaitForLenders(const standin_platform& platform,
                    const std::vector<std::string>& programs) {
  namespace json = boost::json;
  json::array expected;
  for (std::size_t i = 0; i < programs.size(); ++i) {
    if (programs[i] == GatewayProgram()) {
      expected.push_back(json::value("gateway-" + std::to_string(i)));
    }
  }
  const std::string command =
      test_support::BuildPath("sassafraswickctl") +
      " gateway dump 127.0.0.1:" + std::to_string(platform.ProbePort(0));
  return test_support::WaitFor(kTimeout, [&command, &expected] {
    int exit_code = -1;
    const std::string dump = test_support::RunCommand(command, exit_code);
    return exit_code == 0 &&
           json::parse(dump).as_object().at("lenders") == expected;
  });
}

/// Connections that the hosts of this build have lent.
std::int64_t ConnectionsLent(const standin_platform& platform,
                             const std::vector<std::string>& programs) {
  std::int64_t lent = 0;
  for (std::size_t i = 0; i < programs.size(); ++i) {
    if (programs[i] == GatewayProgram()) {
      lent += platform.Metric(i, "connections_lent");
    }
  }
  return lent;
}

std::string CapacityOf(standin_platform& platform, std::size_t gateway) {
  return platform.Store().Value("sassafraswick/capacity/gateway-" +
                                std::to_string(gateway));
}

/// Replaces the program of a running gateway.
/// @param number Signal that ends the running process.
void Replace(standin_platform& platform, std::size_t gateway,
             const std::string& program, int number) {
  platform.SetProgram(gateway, program);
  platform.Gateway(gateway).Signal(number);
  static_cast<void>(platform.Gateway(gateway).Wait(kTimeout));
  platform.RestartGateway(gateway);
  INFO("gateway " << gateway << " runs " << program);
  CHECK(WaitUntilServing(platform, gateway, kTimeout));
}

TEST_CASE("hosts of two builds serve side by side through upgrade and rollback",
          "[gateway][mixed]") {
  const std::string earlier = EarlierProgram();
  const standin_options options = SharingFleet(earlier);
  std::vector<std::string> programs = options.programs;
  standin_platform platform(options);
  REQUIRE(platform.WaitReady());
  line_workload callers(platform, kGateways, kCallers, kSeed);
  callers.Start();
  Pause(kServingTime);
  for (std::size_t i = 0; i < kGateways; ++i) {
    CHECK(WaitUntilServing(platform, i, kTimeout));
  }
  CHECK(CapacityOf(platform, 0) == "cores=0.25 zone=zone-0");
  CHECK(WaitForLenders(platform, programs));
  const std::int64_t lent_beside_earlier = ConnectionsLent(platform, programs);
  CHECK(lent_beside_earlier > 0);
  for (std::size_t i = 1; i < kGateways; i += 2) {
    programs[i] = GatewayProgram();
    Replace(platform, i, programs[i], SIGTERM);
  }
  CHECK(WaitForLenders(platform, programs));
  Pause(kServingTime);
  std::cout << "mixed builds: " << lent_beside_earlier
            << " connections lent beside the earlier build, "
            << ConnectionsLent(platform, programs) << " after the upgrade\n";
  // Some hosts crash, so that what they registered outlives them.
  for (std::size_t i = kGateways; i-- > 0;) {
    programs[i] = earlier;
    Replace(platform, i, earlier, i % 2 == 0 ? SIGTERM : SIGKILL);
    CHECK((i == 0 || WaitForLenders(platform, programs)));
  }
  Pause(kServingTime);
  callers.Stop();
  test_support::history recorded = callers.Take();
  AddFinalState(platform, kCallers, recorded);
  const test_support::violation_counts violations = CheckHistory(recorded);
  std::uint64_t acknowledged = 0;
  for (const test_support::write_record& write : recorded.writes) {
    acknowledged +=
        write.result == test_support::outcome::kAcknowledged ? 1 : 0;
  }
  std::cout << "mixed builds: " << acknowledged << " of "
            << recorded.writes.size() << " writes acknowledged, "
            << recorded.reads.size() << " reads done, " << callers.FailedReads()
            << " failed; " << test_support::Describe(violations) << "\n";
  CHECK(violations.Total() == 0);
  // A caller in a transaction on a host that crashes loses it, nobody else.
  CHECK(acknowledged > recorded.writes.size() * 9 / 10);
  CHECK(recorded.reads.size() > callers.FailedReads() * 9);
}

}  // namespace
}  // namespace test_platform
