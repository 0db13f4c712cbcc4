#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "test/platform/standin_platform.h"
#include "test/support/crowd.h"

/// @file
/// Crowds of clients that do not behave, against a gateway process.

namespace test_platform {
namespace {

using std::chrono::milliseconds;
using test_support::crowd;
using test_support::crowd_options;
using test_support::Pause;
using test_support::process_usage;
using test_support::UsageOf;
using test_support::WaitFor;

constexpr milliseconds kTimeout(30'000);
constexpr std::size_t kClients = 240;
/// Of the limit of 1 MiB.
constexpr std::size_t kLegalBytes = 1'000'000;
/// Just below the longest statement that is run.
constexpr std::size_t kStatementBytes = 250'000;
constexpr std::uint64_t kMemoryLimitKilobytes = 96ULL * 1024;
constexpr std::size_t kDescriptorLimit = 500;
constexpr const char* kLimits =
    "[limits]\nmemory = 96\ndescriptors = 500\nmessage_timeout = 2s\n";
constexpr const char* kAnswered = "READY I -\r\n";

std::string Statement(const std::string& text, std::size_t padding = 0) {
  return "QUERY crowd " + text + std::string(padding, 'x') + "\r\n";
}

/// A gateway with low limits, and what it has held for its callers.
class limited_gateway {
 public:
  limited_gateway() : platform_(Options()) {
    REQUIRE(platform_.WaitReady());
    CheckCalm();
  }
  limited_gateway(const limited_gateway&) = delete;
  limited_gateway& operator=(const limited_gateway&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return platform_.CallerPort(0); }

  /// Checks that the process lives within its limits.
  void CheckBounds() {
    const std::optional<process_usage> usage =
        UsageOf(platform_.Gateway(0).ProcessId());
    REQUIRE(usage.has_value());
    const std::uint64_t queued = test_support::QueuedKilobytes(Port());
    CHECK(usage->peak_resident_kilobytes < kMemoryLimitKilobytes);
    CHECK(usage->resident_kilobytes + queued < kMemoryLimitKilobytes);
    CHECK(usage->descriptors < kDescriptorLimit);
  }

  /// Waits until the connections of a crowd that stays have been closed.
  bool WaitUntilClosed(crowd& waiting, const std::string& trickle) {
    return WaitFor(kTimeout, [this, &waiting, &trickle] {
      waiting.AddToAll(trickle);
      waiting.Drive();
      const std::optional<process_usage> usage =
          UsageOf(platform_.Gateway(0).ProcessId());
      return usage.has_value() && usage->descriptors < kDescriptorLimit / 5;
    });
  }

  /// Checks that an ordinary caller is served, and that a message of legal
  /// size is answered when nothing else is sent.
  void CheckCalm() {
    CHECK(WaitFor(kTimeout, [this] {
      line_client ordinary(Port());
      return ordinary.Start("counter", "key-one") == "READY I -" &&
             ordinary.Run("WRITE frame oak").starts_with("COMPLETE") &&
             ordinary.Run("READ frame").starts_with("ROW oak|COMPLETE");
    }));
    CHECK(WaitFor(kTimeout, [this] {
      line_client large(Port());
      return large.Start("counter", "key-one") == "READY I -" &&
             large.Run("WRITE large " + std::string(kLegalBytes, 'y'))
                 .starts_with("ERROR TOOLARGE") &&
             large.Run("READ frame").starts_with("ROW oak|COMPLETE");
    }));
  }

  /// Writes an item that makes long rows.
  void WriteLongItem() {
    CHECK(WaitFor(kTimeout, [this] {
      line_client writer(Port());
      return writer.Start("counter", "key-one") == "READY I -" &&
             writer.Run("WRITE long " + std::string(kStatementBytes, 'z'))
                 .starts_with("COMPLETE");
    }));
  }

  /// Opens a session for each client.
  void StartAll(crowd& clients) const {
    clients.AddToAll("START counter key-one\r\n");
    clients.DriveUntilAnswered(kAnswered);
  }

 private:
  static standin_options Options() {
    standin_options options;
    options.settings_lines = kLimits;
    return options;
  }

  standin_platform platform_;
};

TEST_CASE("a crowd sends messages of legal size in one piece",
          "[clients][whole]") {
  limited_gateway gateway;
  const std::size_t bytes = GENERATE(kLegalBytes, kStatementBytes);
  crowd clients(gateway.Port(), {kClients});
  gateway.StartAll(clients);
  for (std::size_t i = 0; i < clients.Size(); ++i) {
    clients.Add(i, Statement("WRITE item" + std::to_string(i) + " ", bytes));
  }
  clients.Drive();
  gateway.CheckBounds();
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd sends messages of legal size in small pieces",
          "[clients][pieces]") {
  limited_gateway gateway;
  crowd clients(gateway.Port(), {kClients, 1000});
  gateway.StartAll(clients);
  clients.AddToAll(Statement("WRITE item ", kLegalBytes));
  clients.Drive();
  gateway.CheckBounds();
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd sends messages far over the limit", "[clients][over]") {
  limited_gateway gateway;
  constexpr std::size_t kFarOverBytes = 4'000'000;
  crowd clients(gateway.Port(), {kClients});
  gateway.StartAll(clients);
  clients.AddToAll(std::string(kFarOverBytes, 'q'));
  clients.Drive();
  gateway.CheckBounds();
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a client sends many messages ahead and reads no answers",
          "[clients][ahead]") {
  limited_gateway gateway;
  gateway.WriteLongItem();
  crowd_options options;
  options.reads = false;
  crowd clients(gateway.Port(), options);
  gateway.StartAll(clients);
  const std::string kind = GENERATE("READ", "PREPARE", "SET");
  constexpr int kMessages = 2000;
  for (int i = 0; i < kMessages; ++i) {
    const std::string name = "s" + std::to_string(i);
    clients.AddToAll(
        kind == "READ" ? Statement("READ long")
        : kind == "SET"
            ? Statement("SET " + name + " ", kStatementBytes)
            : Statement("PREPARE " + name + " READ ", kStatementBytes));
  }
  clients.Drive();
  gateway.CheckBounds();
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd sends a byte now and then", "[clients][slowsend]") {
  limited_gateway gateway;
  crowd clients(gateway.Port(), {kClients});
  gateway.StartAll(clients);
  clients.AddToAll("QUERY crowd WRITE item " +
                   std::string(kLegalBytes / 2, 'x'));
  clients.Drive();
  gateway.CheckBounds();
  CHECK(gateway.WaitUntilClosed(clients, "x"));
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd asks for long rows and does not read",
          "[clients][slowread]") {
  limited_gateway gateway;
  gateway.WriteLongItem();
  crowd_options options{kClients};
  options.reads = false;
  crowd clients(gateway.Port(), options);
  gateway.StartAll(clients);
  constexpr int kRows = 20;
  for (int i = 0; i < kRows; ++i) {
    clients.AddToAll(Statement("READ long"));
  }
  clients.Drive();
  Pause(milliseconds(2000));
  gateway.CheckBounds();
  CHECK(gateway.WaitUntilClosed(clients, ""));
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd stops half-way through a message", "[clients][half]") {
  limited_gateway gateway;
  crowd clients(gateway.Port(), {kClients});
  gateway.StartAll(clients);
  clients.AddToAll("QUERY crowd WRITE item " + std::string(kLegalBytes, 'x'));
  clients.Drive();
  gateway.CheckBounds();
  gateway.CheckCalm();
  CHECK(gateway.WaitUntilClosed(clients, ""));
  gateway.CheckBounds();
}

TEST_CASE("a crowd stops half-way through its first message",
          "[clients][start]") {
  limited_gateway gateway;
  crowd clients(gateway.Port(), {kClients});
  clients.AddToAll("START coun" + std::string(kLegalBytes, 'x'));
  clients.Drive();
  gateway.CheckBounds();
  CHECK(gateway.WaitUntilClosed(clients, ""));
  gateway.CheckCalm();
  gateway.CheckBounds();
}

TEST_CASE("a crowd opens more sessions than a host may hold",
          "[clients][sessions]") {
  limited_gateway gateway;
  {
    crowd clients(gateway.Port(), {kDescriptorLimit * 2});
    gateway.StartAll(clients);
    gateway.CheckBounds();
  }
  gateway.CheckCalm();
  gateway.CheckBounds();
}

}  // namespace
}  // namespace test_platform
