#include "platform/documents.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <random>

#include "platform/settings.h"

namespace sassafraswick::platform {
namespace {

const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r-1","host":"counter","route_type":)"
    R"("bounded_staleness","timeout_ms":2000,"target_latency_ms":600,)"
    R"("priority":2,"service":"orders","max_staleness_ms":1500,)"
    R"("public":false}],"services":[{"name":"orders","max_connections":21,)"
    R"("sync_replicas":1}],"limits":{"tx_idle_ms":3000},"tenants":[)"
    R"({"name":"gallery","api_keys":["k1","k2"],"rate_per_s":113,)"
    R"("burst":113}]})";

const std::string kEntry =
    R"({"service":"orders","address":"127.0.0.1:8080","zone":"z","slots":3,)"
    R"("state":"ready","db_role":"replica","sequence":4,"born":17})";

TEST_CASE("a configuration is decoded into a catalog", "[documents]") {
  const catalog decoded = *DecodeConfiguration(kConfiguration).value();
  CHECK(decoded.version == 7);
  const catalog_route& route = decoded.routes.at("counter");
  CHECK(route.pool == "orders");
  CHECK(route.consistency == read_consistency::kBoundedStaleness);
  CHECK(route.max_staleness == std::chrono::milliseconds(1500));
  CHECK(decoded.pools.at("orders").sync_replicas == 1);
  CHECK(AdmitCaller(decoded, "counter", "k2").verdict ==
        admission_verdict::kAdmitted);
  CHECK(AdmitCaller(decoded, "counter", "k2").organisation.rate == 113);
  CHECK(AdmitCaller(decoded, "counter", "k3").verdict ==
        admission_verdict::kNotAuthorised);
  CHECK(AdmitCaller(decoded, "nowhere", "k2").verdict ==
        admission_verdict::kUnknownDatabase);
}

TEST_CASE("a server entry is decoded completely or rejected", "[documents]") {
  const target_record record = DecodeServerEntry("servers/i-1", kEntry).value();
  CHECK(record.id == "i-1");
  CHECK(record.pool == "orders");
  CHECK_FALSE(record.leaving);
  CHECK_FALSE(record.claims_primary);
  for (const char* const bad :
       {R"({})", R"([1])", "\x01", R"({"service":7})",
        R"({"service":"o","address":"x","zone":"z","slots":3,"state":"ready",)"
        R"("db_role":"replica"})",
        R"({"service":"o","address":"1.2.3.4:5","zone":"z","slots":3,)"
        R"("state":"asleep","db_role":"replica"})",
        R"({"service":"o","address":"1.2.3.4:5","zone":"z","slots":0,)"
        R"("state":"ready","db_role":"replica"})"}) {
    CHECK_FALSE(DecodeServerEntry("servers/i-1", bad));
  }
  CHECK_FALSE(DecodeServerEntry("servers/", kEntry));
}

/// Returns `kEntry` with another text in place of one of its parts.
std::string EntryWith(const std::string& part, const std::string& text) {
  std::string entry = kEntry;
  return entry.replace(entry.find(part), part.size(), text);
}

// Times that overflow, and ids that break a line of the protocol, were used.
// Reported by operators of similar systems.
TEST_CASE("an odd entry names no instance", "[documents]") {
  constexpr std::size_t kDepth = 100'000;
  const std::string nested(kDepth, '[');
  const std::string objects = [] {
    std::string text;
    for (std::size_t i = 0; i < kDepth; ++i) {
      text += "{\"a\":";
    }
    return text;
  }();
  for (const std::string& bad :
       {nested,
        objects,
        EntryWith("3", nested),
        EntryWith("8080", "65536"),
        EntryWith("8080", "70000"),
        EntryWith("8080", "-1"),
        EntryWith("8080", "0"),
        EntryWith("8080", "99999999999999999999"),
        EntryWith("\"slots\":3", "\"slots\":65537"),
        EntryWith("\"slots\":3", "\"slots\":1e400"),
        EntryWith("\"slots\":3", "\"slots\":3.5"),
        EntryWith("\"born\":17", "\"born\":1e300"),
        EntryWith("\"born\":17", "\"born\":-1"),
        EntryWith("\"born\":17", "\"born\":\"17\""),
        EntryWith("\"born\":17", "\"born\":18446744073709551615"),
        EntryWith("\"born\":17", "\"warmup_left_ms\":9223372036854775807"),
        EntryWith("\"born\":17", "\"warmup_left_ms\":1e18"),
        EntryWith("\"born\":17", "\"warmup_left_ms\":-5"),
        EntryWith("\"orders\"", "\"orders x\\r\\nQUERY\""),
        EntryWith("\"orders\"", "\"\"")}) {
    CAPTURE(bad.substr(0, 200));
    CHECK_FALSE(DecodeServerEntry("servers/i-1", bad));
  }
  CHECK_FALSE(DecodeServerEntry("servers/i 1", kEntry));
  CHECK_FALSE(DecodeServerEntry("servers/i-1\r\nQUERY - STATUS", kEntry));
  CHECK_FALSE(DecodeServerEntry(std::string("servers/i\0", 10), kEntry));
}

TEST_CASE("a time in a configuration that is too long keeps its default",
          "[documents]") {
  std::string text = kConfiguration;
  text.replace(text.find("2000"), 4, "9223372036854775807");
  const catalog decoded = *DecodeConfiguration(text).value();
  CHECK(decoded.routes.at("counter").statement_timeout ==
        catalog_route().statement_timeout);
}

TEST_CASE("decoders do not crash on corrupted documents", "[documents][fuzz]") {
  std::mt19937 random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string configuration = kConfiguration;
    std::string entry = kEntry;
    for (int j = 0; j < 3; ++j) {
      configuration[random() % configuration.size()] =
          static_cast<char>(random());
      entry[random() % entry.size()] = static_cast<char>(random());
    }
    static_cast<void>(DecodeConfiguration(configuration).has_value());
    static_cast<void>(DecodeServerEntry("servers/i-1", entry).has_value());
  }
}

TEST_CASE("an error about settings names the file, section and key",
          "[settings]") {
  const std::string path = "/tmp/sassafraswick_settings_test.ini";
  std::ofstream(path) << "[host]\nname = a\n";
  const result<process_settings> missing = LoadSettings(path);
  REQUIRE_FALSE(missing);
  CHECK(missing.error().message ==
        path + ": [host] availability_zone is missing");
  std::ofstream(path) << "[host]\nname = a\navailability_zone = z\n"
                      << "[listen]\ncallers = nowhere\n";
  const result<process_settings> bad = LoadSettings(path);
  REQUIRE_FALSE(bad);
  CHECK(bad.error().message.find("[listen] callers") != std::string::npos);
}

TEST_CASE("a host's capacity is read, and 1 core if it is unusable",
          "[settings]") {
  const std::string path = "/tmp/sassafraswick_capacity_test.ini";
  const std::string common =
      "[listen]\ncallers = 1.2.3.4:1\npeers = 1.2.3.4:2\nprobe = 1.2.3.4:3\n"
      "[platform]\nstore = 1.2.3.4:4\npromotions = 1.2.3.4:5\n"
      "[stop]\ngrace = 6s\n[host]\nname = a\navailability_zone = z\n";
  std::ofstream(path) << common + "cores = 0.084\n";
  CHECK(LoadSettings(path).value().gateway.capacity == 0.084);
  const std::string odd = GENERATE(
      as<std::string>(), "", "cores =\n", "cores = 0\n", "cores = -1\n",
      "cores = x\n", "cores = inf\n", "cores = nan\n", "cores = 1e9\n");
  std::ofstream(path) << common + odd;
  CHECK(LoadSettings(path).value().gateway.capacity == 1.0);
}

}  // namespace
}  // namespace sassafraswick::platform
