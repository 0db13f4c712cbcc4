#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "test/support/crowd.h"
#include "test/support/fleet.h"

/// @file
/// Crowds of clients that do not behave, against the PostgreSQL proxy.

namespace test_support {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout(30'000);
constexpr std::size_t kClients = 40;
/// Of the limit of 16 MiB.
constexpr std::size_t kLegalBytes = 15'000'000;
constexpr std::size_t kStatementBytes = 250'000;
constexpr std::uint64_t kMemoryLimitKilobytes = 160ULL * 1024;
constexpr std::size_t kDescriptorLimit = 500;
constexpr const char* kLimits =
    "[limits]\nmemory = 160\ndescriptors = 500\nmessage_timeout = 2s\n";
constexpr std::string_view kPasswordRequest("R\0\0\0\x08\0\0\0\x03", 9);
constexpr std::string_view kReady("Z\0\0\0\x05I", 6);

std::string BigEndian(std::uint32_t value) {
  constexpr unsigned kBitsPerByte = 8;
  std::string bytes;
  for (unsigned shift = 4 * kBitsPerByte; shift > 0; shift -= kBitsPerByte) {
    bytes.push_back(static_cast<char>(value >> (shift - kBitsPerByte)));
  }
  return bytes;
}

std::string Frame(char type, const std::string& body) {
  return type + BigEndian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string Startup(const std::string& organisation) {
  constexpr std::uint32_t kVersion3 = 196'608;
  std::string body = BigEndian(kVersion3);
  for (const std::string& text :
       {std::string("user"), organisation, std::string("database"),
        std::string("orders0"), std::string()}) {
    body += text;
    body.push_back('\0');
  }
  return BigEndian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string Query(const std::string& text) {
  return Frame('Q', text + std::string(1, '\0'));
}

/// A named prepared statement and the end of its batch.
std::string Prepare(const std::string& name, std::size_t padding) {
  std::string body = name;
  body.push_back('\0');
  body += "SELECT " + std::string(padding, '1');
  body.append(3, '\0');
  return Frame('P', body) + Frame('S', "");
}

/// A proxy with low limits, and what it has held for its callers.
class limited_proxy {
 public:
  limited_proxy() : fleet_(Options()) {
    REQUIRE(fleet_.WaitReady());
    pg_client writer(fleet_.Url(0, "gallery"));
    REQUIRE(writer
                .Query("CREATE TABLE orders (id bigint primary key, item "
                       "text)")
                .ok);
    CheckCalm();
  }

  [[nodiscard]] std::uint16_t Port() const { return fleet_.ProxyPort(0); }

  /// Checks that the process lives within its limits.
  void CheckBounds() {
    const std::optional<process_usage> usage =
        UsageOf(fleet_.Proxy(0).ProcessId());
    REQUIRE(usage.has_value());
    CHECK(usage->peak_resident_kilobytes < kMemoryLimitKilobytes);
    CHECK(usage->resident_kilobytes + QueuedKilobytes(Port()) <
          kMemoryLimitKilobytes);
    CHECK(usage->descriptors < kDescriptorLimit);
  }

  /// Waits until the connections of a crowd that stays have been closed.
  bool WaitUntilClosed(crowd& waiting, const std::string& trickle) {
    constexpr std::size_t kFewDescriptors = 60;
    return WaitFor(kTimeout, [this, &waiting, &trickle] {
      waiting.AddToAll(trickle);
      waiting.Drive();
      const std::optional<process_usage> usage =
          UsageOf(fleet_.Proxy(0).ProcessId());
      return usage.has_value() && usage->descriptors < kFewDescriptors;
    });
  }

  /// Checks that an ordinary caller is served, also with a large message when
  /// nothing else is sent.
  void CheckCalm() {
    CHECK(WaitFor(kTimeout, [this] {
      pg_client ordinary(fleet_.Url(0, "gallery"));
      return ordinary.IsConnected() && ordinary.Query("SELECT 1").ok;
    }));
    CHECK(WaitFor(kTimeout, [this] {
      constexpr std::size_t kLargeBytes = 1'000'000;
      pg_client large(fleet_.Url(0, "gallery"));
      return large.IsConnected() &&
             large
                 .Query("SELECT item FROM orders WHERE item = '" +
                        std::string(kLargeBytes, 'y') + "'")
                 .ok;
    }));
  }

  /// Opens a session for each client.
  void StartAll(crowd& clients) const {
    clients.AddToAll(Startup("gallery"));
    clients.DriveUntilAnswered(std::string(kPasswordRequest));
    clients.AddToAll(Frame('p', fleet_.Key("gallery") + std::string(1, '\0')));
    clients.DriveUntilAnswered(std::string(kReady));
  }

 private:
  static fleet_options Options() {
    fleet_options options;
    options.proxies = 1;
    options.zones = 1;
    options.with_faults = false;
    options.settings_lines = kLimits;
    return options;
  }

  fleet fleet_;
};

TEST_CASE("a crowd sends large units in one piece", "[proxy][whole]") {
  limited_proxy proxy;
  crowd clients(proxy.Port(), {kClients});
  proxy.StartAll(clients);
  clients.AddToAll(Query("SELECT '" + std::string(kLegalBytes, 'x') + "'"));
  clients.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  proxy.CheckBounds();
}

TEST_CASE("a crowd sends units of legal size in small pieces",
          "[proxy][pieces]") {
  limited_proxy proxy;
  crowd clients(proxy.Port(), {kClients, 10'000});
  proxy.StartAll(clients);
  clients.AddToAll(Query("SELECT '" + std::string(kLegalBytes, 'x') + "'"));
  clients.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  proxy.CheckBounds();
}

TEST_CASE("a crowd declares frames far over the limit", "[proxy][over]") {
  limited_proxy proxy;
  constexpr std::uint32_t kFarOverBytes = 2'000'000'000;
  const std::string rest(kLegalBytes, 'x');
  {
    crowd startups(proxy.Port(), {kClients});
    startups.AddToAll(BigEndian(kFarOverBytes) + rest);
    startups.Drive();
    proxy.CheckBounds();
  }
  {
    crowd queries(proxy.Port(), {kClients});
    proxy.StartAll(queries);
    queries.AddToAll('Q' + BigEndian(kFarOverBytes) + rest);
    queries.Drive();
    proxy.CheckBounds();
  }
  crowd passwords(proxy.Port(), {kClients});
  passwords.AddToAll(Startup("gallery") + 'p' + BigEndian(kFarOverBytes) +
                     rest);
  passwords.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  proxy.CheckBounds();
}

TEST_CASE("a client sends many units ahead and reads no answers",
          "[proxy][ahead]") {
  limited_proxy proxy;
  crowd_options options;
  options.reads = false;
  crowd clients(proxy.Port(), options);
  proxy.StartAll(clients);
  const bool prepares = GENERATE(true, false);
  constexpr int kUnits = 2000;
  for (int i = 0; i < kUnits; ++i) {
    clients.AddToAll(prepares
                         ? Prepare("s" + std::to_string(i), kStatementBytes)
                         : Query("SELECT generate_series(1, 20000)"));
  }
  clients.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  proxy.CheckBounds();
}

TEST_CASE("a crowd sends a byte of a unit now and then", "[proxy][slowsend]") {
  limited_proxy proxy;
  crowd clients(proxy.Port(), {kClients});
  proxy.StartAll(clients);
  clients.AddToAll(Query("SELECT '" + std::string(kLegalBytes, 'x'))
                       .substr(0, kLegalBytes / 2));
  clients.Drive();
  proxy.CheckBounds();
  CHECK(proxy.WaitUntilClosed(clients, "x"));
  proxy.CheckCalm();
  proxy.CheckBounds();
}

TEST_CASE("a crowd asks for many rows and does not read", "[proxy][slowread]") {
  limited_proxy proxy;
  crowd_options options{kClients};
  options.reads = false;
  crowd clients(proxy.Port(), options);
  proxy.StartAll(clients);
  clients.AddToAll(Query("SELECT generate_series(1, 300000)"));
  clients.Drive();
  Pause(milliseconds(2000));
  proxy.CheckBounds();
  proxy.CheckCalm();
  CHECK(proxy.WaitUntilClosed(clients, ""));
  proxy.CheckBounds();
}

TEST_CASE("a crowd stops half-way through a unit", "[proxy][half]") {
  limited_proxy proxy;
  crowd clients(proxy.Port(), {kClients});
  proxy.StartAll(clients);
  clients.AddToAll(Query("SELECT '" + std::string(kLegalBytes, 'x') + "'")
                       .substr(0, kLegalBytes));
  clients.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  CHECK(proxy.WaitUntilClosed(clients, ""));
  proxy.CheckBounds();
}

TEST_CASE("a crowd stops half-way through its startup", "[proxy][start]") {
  limited_proxy proxy;
  crowd clients(proxy.Port(), {kClients * 5});
  clients.AddToAll(Startup("gallery").substr(0, 10));
  clients.Drive();
  proxy.CheckBounds();
  proxy.CheckCalm();
  CHECK(proxy.WaitUntilClosed(clients, ""));
  proxy.CheckBounds();
}

TEST_CASE("a crowd opens more sessions than a proxy may hold",
          "[proxy][sessions]") {
  limited_proxy proxy;
  {
    crowd clients(proxy.Port(), {kDescriptorLimit * 2});
    proxy.StartAll(clients);
    proxy.CheckBounds();
  }
  proxy.CheckCalm();
  proxy.CheckBounds();
}

}  // namespace
}  // namespace test_support
