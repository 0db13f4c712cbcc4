#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test/platform/standin_platform.h"

/// @file
/// Gateways that share the connections to instances.

namespace test_platform {
namespace {

using std::chrono::milliseconds;
using test_support::Pause;
using test_support::WaitFor;

constexpr milliseconds kTimeout(15'000);
constexpr std::size_t kGateways = 5;

/// Instances that accept fewer connections than there are gateways.
standin_options SharedOptions() {
  standin_options options;
  options.gateways = kGateways;
  options.max_connections = 3;
  options.settings_lines = "[connections]\nshared = auto\n";
  return options;
}

bool RunUntilDone(line_client& client, const std::string& text) {
  return WaitFor(kTimeout, [&client, &text] {
    return client.Run(text).starts_with("COMPLETE");
  });
}

/// Waits until every gateway knows the others, and writes are lent.
/// @return The gateway that lends connections to the primary.
std::size_t FindHome(standin_platform& platform) {
  std::size_t home = kGateways;
  int round = 0;
  const bool found = WaitFor(kTimeout, [&] {
    std::vector<std::int64_t> before;
    for (std::size_t i = 0; i < kGateways; ++i) {
      before.push_back(platform.Metric(i, "connections_lent"));
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      line_client client(platform.CallerPort(i));
      client.Start("counter", "key-one");
      const std::string item = "warm" + std::to_string(++round);
      if (!RunUntilDone(client, "WRITE " + item + " oak")) {
        return false;
      }
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      const std::int64_t lent =
          platform.Metric(i, "connections_lent") - before[i];
      if (lent == static_cast<std::int64_t>(kGateways) - 1) {
        home = i;
        return true;
      }
    }
    return false;
  });
  return found ? home : kGateways;
}

/// Number of times that an item is in the primary's log.
std::size_t CountWrites(standin_platform& platform, const std::string& item) {
  const std::vector<log_entry> log =
      platform.Group().Log(platform.Group().PrimaryIndex());
  return static_cast<std::size_t>(std::count_if(
      log.begin(), log.end(),
      [&item](const log_entry& entry) { return entry.item == item; }));
}

TEST_CASE("sessions on several gateways share connections and no state",
          "[gateway][lending]") {
  standin_platform platform(SharedOptions());
  REQUIRE(platform.WaitReady());
  REQUIRE(FindHome(platform) < kGateways);
  constexpr int kSessions = 10;
  constexpr int kRounds = 40;
  const std::size_t opened_before = platform.Group().Organisations().size();
  std::vector<int> mismatches(kSessions, 0);
  std::vector<int> served(kSessions, 0);
  std::vector<std::thread> callers;
  callers.reserve(kSessions);
  for (int number = 0; number < kSessions; ++number) {
    callers.emplace_back([&platform, &mismatches, &served, number] {
      const std::size_t index = static_cast<std::size_t>(number);
      line_client client(platform.CallerPort(index % kGateways));
      client.Start("workshop", "key-one");
      const std::string owner = "v" + std::to_string(number);
      const std::string item = "item" + std::to_string(number);
      client.Run("SET owner " + owner);
      client.Run("PREPARE s0 READ q" + std::to_string(number));
      client.Run("PREPARE s1 WRITE q" + std::to_string(number));
      for (int round = 0; round < kRounds; ++round) {
        const std::string data = owner + "r" + std::to_string(round);
        const bool in_transaction = round % 3 == 0;
        if (in_transaction) {
          client.Run("BEGIN");
        }
        std::string write = "EXECUTE s1 ";
        write.append(item).append(" ").append(data);
        std::string written = client.Run(write);
        if (in_transaction) {
          written = client.Run("COMMIT");
        }
        if (!written.starts_with("COMPLETE")) {
          continue;
        }
        const std::string read = client.Run("EXECUTE s0 " + item);
        std::string expected = "ROW ";
        expected.append(data).append(" owner=").append(owner);
        const bool right = read.starts_with(expected + "|COMPLETE");
        served.at(index) += right ? 1 : 0;
        const bool rejected = read.starts_with("ERROR BUSY");
        mismatches.at(index) += rejected || right ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(mismatches == std::vector<int>(kSessions, 0));
  int total = 0;
  for (const int count : served) {
    CHECK(count > 0);
    total += count;
  }
  const std::vector<std::string> organisations =
      platform.Group().Organisations();
  const std::int64_t opened = std::count(
      organisations.begin() + static_cast<std::ptrdiff_t>(opened_before),
      organisations.end(), "gallery");
  CHECK(opened * 4 < total);
}

TEST_CASE("a request goes elsewhere if its home does not grant it",
          "[gateway][lending]") {
  standin_platform platform(SharedOptions());
  REQUIRE(platform.WaitReady());
  const std::size_t home = FindHome(platform);
  REQUIRE(home < kGateways);
  const std::size_t entry = (home + 1) % kGateways;
  line_client client(platform.CallerPort(entry));
  client.Start("counter", "key-one");

  SECTION("the home is killed") {
    platform.Gateway(home).Signal(SIGKILL);
    CHECK(client.Run("WRITE frame ash").starts_with("COMPLETE"));
    CHECK(client.Run("READ frame").starts_with("ROW ash"));
  }
  SECTION("the home is paused") {
    platform.Gateway(home).Signal(SIGSTOP);
    CHECK(client.Run("WRITE frame ash").starts_with("COMPLETE"));
    CHECK(client.Run("READ frame").starts_with("ROW ash"));
    const std::int64_t lent_elsewhere =
        platform.Metric(entry, "home_failovers");
    CHECK(lent_elsewhere > 0);
    platform.Gateway(home).Signal(SIGCONT);
    REQUIRE(WaitFor(kTimeout, [&platform, home] {
      return platform.Metric(home, "present_leases") == 0;
    }));
    const std::int64_t lent = platform.Metric(home, "connections_lent");
    CHECK(WaitFor(kTimeout, [&] {
      client.Run("WRITE again ash");
      return platform.Metric(home, "connections_lent") > lent;
    }));
  }
  CHECK(CountWrites(platform, "frame") == 1);
}

TEST_CASE("a write that was handed on to a home that fails is in doubt",
          "[gateway][lending]") {
  standin_platform platform(SharedOptions());
  REQUIRE(platform.WaitReady());
  const std::size_t home = FindHome(platform);
  REQUIRE(home < kGateways);
  const std::size_t primary = platform.Group().PrimaryIndex();
  const auto set_receiving = [&platform, primary](bool receiving) {
    for (std::size_t i = 0; i < platform.Group().Size(); ++i) {
      if (i != primary) {
        platform.Group().Modify(i, [receiving](group_instance& each) {
          each.not_receiving = !receiving;
        });
      }
    }
  };
  line_client client(platform.CallerPort((home + 1) % kGateways));
  client.Start("counter", "key-one");
  bool commits = false;
  SECTION("a single write") {}
  SECTION("a commit") {
    commits = true;
    REQUIRE(client.Run("BEGIN").starts_with("COMPLETE"));
    REQUIRE(client.Run("WRITE frame ash").starts_with("COMPLETE"));
  }
  set_receiving(false);
  std::string response;
  std::thread caller([&client, &response, commits] {
    response = client.Run(commits ? "COMMIT" : "WRITE frame ash");
  });
  Pause(milliseconds(300));
  platform.Gateway(home).Signal(SIGKILL);
  caller.join();
  set_receiving(true);
  CHECK(response.starts_with("ERROR INDOUBT"));
  line_client other(platform.CallerPort((home + 2) % kGateways));
  other.Start("counter", "key-one");
  CHECK(RunUntilDone(other, "WRITE after oak"));
  CHECK(CountWrites(platform, "frame") <= 1);
}

TEST_CASE("a home that stops finishes what it has granted",
          "[gateway][lending]") {
  standin_platform platform(SharedOptions());
  REQUIRE(platform.WaitReady());
  const std::size_t home = FindHome(platform);
  REQUIRE(home < kGateways);
  line_client client(platform.CallerPort((home + 1) % kGateways));
  line_client other(platform.CallerPort((home + 2) % kGateways));
  client.Start("counter", "key-one");
  other.Start("counter", "key-one");
  REQUIRE(client.Run("BEGIN").starts_with("COMPLETE"));
  REQUIRE(client.Run("WRITE frame ash").starts_with("COMPLETE"));
  platform.Gateway(home).Signal(SIGTERM);
  for (int i = 0; i < 20; ++i) {
    const std::string item = "during" + std::to_string(i);
    CHECK(other.Run("WRITE " + item + " oak").starts_with("COMPLETE"));
  }
  CHECK(client.Run("WRITE frame elm").starts_with("COMPLETE"));
  CHECK(client.Run("COMMIT").starts_with("COMPLETE"));
  CHECK(platform.Gateway(home).Wait(milliseconds(5000)) == 0);
  CHECK(platform.Group().LastValue(platform.Group().PrimaryIndex(), "frame") ==
        "elm");
}

TEST_CASE("a home rolls back the transaction of an entry host that fails",
          "[gateway][lending]") {
  standin_platform platform(SharedOptions());
  REQUIRE(platform.WaitReady());
  const std::size_t home = FindHome(platform);
  REQUIRE(home < kGateways);
  const std::size_t entry = (home + 1) % kGateways;
  line_client client(platform.CallerPort(entry));
  client.Start("counter", "key-one");
  REQUIRE(client.Run("BEGIN").starts_with("COMPLETE"));
  REQUIRE(client.Run("WRITE frame ash").starts_with("COMPLETE"));
  CHECK(platform.Metric(home, "present_leases") == 1);
  platform.Gateway(entry).Kill();
  SECTION("its lease expires") {
    CHECK(WaitFor(kTimeout, [&platform, home] {
      return platform.Metric(home, "leases_expired") == 1;
    }));
  }
  SECTION("it comes back") {
    platform.RestartGateway(entry);
    REQUIRE(WaitFor(kTimeout,
                    [&platform, entry] { return platform.IsReady(entry); }));
    line_client again(platform.CallerPort(entry));
    again.Start("counter", "key-one");
    CHECK(RunUntilDone(again, "WRITE after oak"));
  }
  CHECK(WaitFor(kTimeout, [&platform, home] {
    return platform.Metric(home, "present_leases") == 0;
  }));
  line_client other(platform.CallerPort((home + 2) % kGateways));
  other.Start("counter", "key-one");
  CHECK(RunUntilDone(other, "WRITE shelf oak"));
  CHECK(CountWrites(platform, "frame") == 0);
}

}  // namespace
}  // namespace test_platform
