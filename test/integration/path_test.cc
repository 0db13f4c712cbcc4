#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "test/support/fault_schedule.h"
#include "test/support/fleet.h"

/// @file
/// End-to-end tests of the PostgreSQL proxy with real processes.

namespace test_support {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout(15'000);
constexpr const char* kGoldenDirectory =
    SASSAFRASWICK_SOURCE_DIR "/test/golden";

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/// Connects to a port, sends bytes and disconnects.
void SendRaw(std::uint16_t port, const std::string& bytes) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    static_cast<void>(
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  close(descriptor);
}

TEST_CASE("a PostgreSQL client is served end to end", "[integration][path]") {
  fleet target({});
  REQUIRE(target.WaitReady());
  pg_client writer(target.Url(0, "gallery"));
  REQUIRE(writer.Query("CREATE TABLE orders (id bigint primary key, item text)")
              .ok);

  SECTION("a consistency token makes a write visible on another proxy") {
    REQUIRE(writer.Query("INSERT INTO orders VALUES (1, 'oak')").ok);
    const std::string token = writer.Token();
    CHECK(token.starts_with("sst1."));
    pg_client reader(target.Url(1, "gallery") +
                     " options='-c sassafraswick.session=" + token + "'");
    REQUIRE(reader.IsConnected());
    CHECK(reader.Query("SELECT item FROM orders WHERE id = 1").Value() ==
          "oak");
    pg_client other_organisation(target.Url(1, "counter"));
    const pg_response rejected =
        other_organisation.Query("SET sassafraswick.session = '" + token + "'");
    CHECK_FALSE(rejected.ok);
    CHECK(rejected.sqlstate == "22023");
  }
  SECTION("prepared statements work across pooled connections") {
    pg_client other(target.Url(0, "counter"));
    REQUIRE(writer.Prepare("put", "INSERT INTO orders VALUES ($1, $2)").ok);
    REQUIRE(other.Prepare("put", "SELECT item FROM orders WHERE id = $1").ok);
    for (int i = 0; i < 20; ++i) {
      const std::string id = std::to_string(i);
      REQUIRE(writer.ExecutePrepared("put", {id, "item" + id}).ok);
      CHECK(other.ExecutePrepared("put", {id}).Value() == "item" + id);
      CHECK(writer.QueryWith("SELECT item FROM orders WHERE id = $1", {id})
                .Value() == "item" + id);
    }
  }
  SECTION("the transaction of a disconnected caller is rolled back") {
    {
      pg_client disconnecting(target.Url(0, "gallery"));
      REQUIRE(disconnecting.Query("BEGIN").ok);
      REQUIRE(disconnecting.Query("INSERT INTO orders VALUES (2, 'ash')").ok);
    }
    CHECK(WaitFor(kTimeout, [&writer] {
      return writer.Query("INSERT INTO orders VALUES (2, 'elm')").ok;
    }));
    CHECK(writer.Query("SELECT item FROM orders WHERE id = 2").Value() ==
          "elm");
  }
  SECTION("the transaction of a killed proxy is rolled back") {
    pg_client killed_proxy_client(target.Url(1, "gallery"));
    REQUIRE(killed_proxy_client.Query("BEGIN").ok);
    REQUIRE(
        killed_proxy_client.Query("INSERT INTO orders VALUES (3, 'ash')").ok);
    target.Proxy(1).Kill();
    CHECK(WaitFor(kTimeout, [&writer] {
      return writer.Query("INSERT INTO orders VALUES (3, 'elm')").ok;
    }));
  }
  SECTION("SQLSTATE codes and transaction states are passed through") {
    CHECK(writer.Query("SELECT * FROM nowhere").sqlstate == "42P01");
    REQUIRE(writer.Query("BEGIN").ok);
    CHECK(writer.Query("SELECT * FROM nowhere").sqlstate == "42P01");
    CHECK(writer.Query("SELECT 1").sqlstate == "25P02");
    CHECK(writer.Query("COMMIT").tag == "ROLLBACK");
    CHECK(writer.Query("LISTEN orders").sqlstate == "0A000");
    CHECK(writer.Query("SELECT 1").ok);
  }
  SECTION("large results are streamed in bounded memory") {
    const pg_response response =
        writer.Query("SELECT generate_series(1, 300000)");
    CHECK(response.rows.size() == 300'000);
    CHECK(target.Proxy(0).ResidentKilobytes() < 200'000);
  }
  SECTION("invalid and withdrawn keys are rejected") {
    std::string url = target.Url(0, "gallery");
    url.replace(url.find("password="), 12, "password=bad");
    CHECK_FALSE(pg_client(url).IsConnected());
    pg_client live(target.Url(0, "gallery"));
    REQUIRE(live.Query("SELECT 1").ok);
    int exit_code = 1;
    target.RunControlTool({"keys", "withdraw", target.Key("gallery")},
                          &exit_code);
    REQUIRE(exit_code == 0);
    CHECK(WaitFor(kTimeout, [&live] { return !live.Query("SELECT 1").ok; }));
    CHECK_FALSE(pg_client(target.Url(0, "gallery")).IsConnected());
  }
  SECTION("the output of a psql session matches its golden file") {
    const std::string output = target.Directory() + "/session.out";
    const std::string command = "psql '" + target.Url(0, "gallery") +
                                "' -X -q < " + kGoldenDirectory +
                                "/session.sql > " + output + " 2>&1";
    static_cast<void>(std::system(command.c_str()));
    const std::string golden =
        ReadAll(std::string(kGoldenDirectory) + "/session.golden");
    CHECK(ReadAll(output) == golden);
  }
  SECTION("the daemon keeps serving after malformed input") {
    std::mt19937_64 random(7);
    for (int i = 0; i < 1000; ++i) {
      std::string bytes;
      const std::size_t size = random() % 200;
      if (i % 2 == 0) {
        bytes = std::string(
            "\0\0\0\x27\0\3\0\0user\0gallery\0database\0"
            "orders0\0\0",
            39);
        bytes += "p";
      }
      for (std::size_t j = 0; j < size; ++j) {
        bytes.push_back(static_cast<char>(random()));
      }
      SendRaw(target.ProxyPort(0), bytes);
    }
    pg_client well_formed(target.Url(0, "gallery"));
    CHECK(well_formed.Query("SELECT 1").ok);
  }
  SECTION("logs and dumps contain no keys") {
    const std::string dump = target.RunControlTool({"dump"});
    CHECK(dump.find("\"members\"") != std::string::npos);
    for (std::size_t i = 0; i < target.ProxyCount(); ++i) {
      const std::string log =
          ReadAll(target.Directory() + "/h" + std::to_string(i) + ".log");
      for (const char* const name : {"gallery", "counter"}) {
        CHECK(log.find(target.Key(name)) == std::string::npos);
        CHECK(dump.find(target.Key(name)) == std::string::npos);
      }
    }
  }
}

TEST_CASE("a graceful shutdown lets open transactions finish",
          "[integration][drain]") {
  fleet target({});
  REQUIRE(target.WaitReady());
  pg_client busy(target.Url(0, "gallery"));
  REQUIRE(busy.Query("BEGIN").ok);
  pg_client idle(target.Url(0, "gallery"));
  REQUIRE(idle.Query("SELECT 1").ok);
  pg_client other_idle(target.Url(0, "counter"));
  REQUIRE(other_idle.Query("SELECT 1").ok);
  target.Proxy(0).Signal(SIGTERM);
  CHECK(WaitFor(kTimeout, [&idle] { return !idle.Query("SELECT 1").ok; }));
  CHECK(busy.Query("SELECT 1").ok);
  CHECK(busy.Query("COMMIT").ok);
  CHECK(target.Proxy(0).Wait(kTimeout) == 0);
}

TEST_CASE("a table change is rejected if outdated and survives a lost response",
          "[integration][tables]") {
  fleet target({});
  REQUIRE(target.WaitReady());
  int exit_code = 0;
  const std::string path = target.Directory() + "/tables.ini";
  target.RunControlTool({"apply", path, "--expect", "1"}, &exit_code);
  CHECK(exit_code == 1);
  target.ConfigurePlatform(R"({"lose_answers":1})");
  const std::string accepted =
      target.RunControlTool({"apply", path}, &exit_code);
  CHECK(exit_code == 0);
  CHECK(accepted.starts_with("accepted as version 4"));
}

TEST_CASE("random faults violate no invariant", "[integration][faults]") {
  const std::uint64_t seed = GENERATE(3U, 6U, 9U, 12U);
  const schedule_report report =
      RunSchedule(seed, fleet_options(), milliseconds(4000));
  INFO("seed " << seed << ": " << report.faults << ": "
               << Describe(report.violations));
  CHECK(report.violations.Total() == 0);
  CHECK(report.operations.writes_done > 0);
}

}  // namespace
}  // namespace test_support
