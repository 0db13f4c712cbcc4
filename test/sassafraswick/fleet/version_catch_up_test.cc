#include "sassafraswick/fleet/version_catch_up.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace sassafraswick {
namespace {

constexpr std::uint64_t kCurrentVersion = 5;
constexpr std::uint64_t kNewerVersion = 8;
const time_point kStart = time_point() + std::chrono::hours(1);

TEST_CASE("a host that does not watch the store requests from the peer at once",
          "[catch-up]") {
  version_catch_up catch_up;
  CHECK(catch_up.Next(kCurrentVersion, kCurrentVersion, false, kStart) ==
        catch_up_step::kNone);
  CHECK(catch_up.Next(kNewerVersion, kCurrentVersion, false, kStart) ==
        catch_up_step::kRequestFromPeer);
  // Only one request at a time.
  CHECK(catch_up.Next(kNewerVersion, kCurrentVersion, false,
                      kStart + kRecordTimeout / 2) == catch_up_step::kNone);
}

TEST_CASE(
    "a host that watches the store waits before it requests from the peer",
    "[catch-up]") {
  version_catch_up catch_up;
  CHECK(catch_up.Next(kNewerVersion, kCurrentVersion, true, kStart) ==
        catch_up_step::kNone);
  CHECK(catch_up.Next(kNewerVersion, kCurrentVersion, true,
                      kStart + kWatchGrace) == catch_up_step::kRequestFromPeer);
}

TEST_CASE("a busy peer's retry delay replaces the request timeout",
          "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewerVersion, kCurrentVersion, false, kStart) ==
          catch_up_step::kRequestFromPeer);
  const duration after = std::chrono::milliseconds(20);
  catch_up.OnPeerBusy(after, kStart);
  CHECK(catch_up.Next(kNewerVersion, kCurrentVersion, false, kStart + after) ==
        catch_up_step::kRequestFromPeer);
}

TEST_CASE("the store is read if peers do not deliver the record",
          "[catch-up]") {
  version_catch_up catch_up;
  int store_reads = 0;
  int peer_requests = 0;
  const duration length = std::chrono::seconds(10);
  for (time_point now = kStart; now < kStart + length;
       now += std::chrono::milliseconds(50)) {
    const catch_up_step step =
        catch_up.Next(kNewerVersion, kCurrentVersion, false, now);
    store_reads += step == catch_up_step::kReadStore ? 1 : 0;
    peer_requests += step == catch_up_step::kRequestFromPeer ? 1 : 0;
    if (now - kStart <= kStoreFallbackDelay) {
      CHECK(store_reads == 0);
    }
  }
  CHECK(store_reads >= 8);
  CHECK(store_reads <= 10);
  // Intervals between requests grow to their maximum.
  CHECK(peer_requests <= 11);
}

TEST_CASE("a newer version during a fetch does not restart the delays",
          "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewerVersion, kCurrentVersion, false, kStart) ==
          catch_up_step::kRequestFromPeer);
  bool needs_store_read = false;
  std::uint64_t version = kNewerVersion;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(3);
       now += std::chrono::milliseconds(100)) {
    needs_store_read = needs_store_read ||
                       catch_up.Next(++version, kCurrentVersion, false, now) ==
                           catch_up_step::kReadStore;
  }
  CHECK(needs_store_read);
}

TEST_CASE("announcements of peers that are behind do not reset the delays",
          "[catch-up]") {
  version_catch_up catch_up;
  int peer_requests = 0;
  bool needs_store_read = false;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(3);
       now += std::chrono::milliseconds(20)) {
    const catch_up_step step =
        catch_up.Next(kNewerVersion, kCurrentVersion, false, now);
    peer_requests += step == catch_up_step::kRequestFromPeer ? 1 : 0;
    needs_store_read = needs_store_read || step == catch_up_step::kReadStore;
    CHECK(catch_up.Next(kCurrentVersion, kCurrentVersion, false, now) ==
          catch_up_step::kNone);
    CHECK(catch_up.Next(kCurrentVersion - 1, kCurrentVersion, false, now) ==
          catch_up_step::kNone);
  }
  // Requests after 0, 300, 900 and 2,100 ms.
  CHECK(peer_requests == 4);
  CHECK(needs_store_read);
}

TEST_CASE("a version that follows an applied one is requested at once",
          "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewerVersion, kCurrentVersion, false, kStart) ==
          catch_up_step::kRequestFromPeer);
  CHECK(catch_up.Next(kNewerVersion, kNewerVersion, false, kStart) ==
        catch_up_step::kNone);
  CHECK(catch_up.Next(kNewerVersion + 1, kNewerVersion, false, kStart) ==
        catch_up_step::kRequestFromPeer);
}

TEST_CASE("records for peers stay within their fraction of the link",
          "[catch-up]") {
  constexpr double kLinkMbps = 20.0;
  constexpr std::size_t kRecordBytes = 30'000;
  record_rate_limiter limiter(kLinkMbps);
  std::size_t sent = 0;
  const duration length = std::chrono::seconds(4);
  for (time_point now = kStart; now < kStart + length;
       now += std::chrono::milliseconds(1)) {
    sent += limiter.TrySend(kRecordBytes, now) ? kRecordBytes : 0;
  }
  const double permitted_mbps = kLinkMbps * kRecordLinkFraction;
  const double sent_mbps = static_cast<double>(sent) * 8 / 1e6 / 4;
  CHECK(sent_mbps <= permitted_mbps * 1.05);
  CHECK(sent_mbps >= permitted_mbps * 0.9);
  CHECK(limiter.RetryAfter(kRecordBytes) < std::chrono::milliseconds(60));
}

/// A fleet, and the compressed size of the record that spreads over it.
struct spread_scenario {
  std::size_t hosts = 0;
  double link_mbps = 0.0;
  std::size_t record_bytes = 0;
};

/// Returns how many reads the store's link of 1,000 Mbit/s carries in a step.
/// The store sends the record in Base64, which adds a third, and uncompressed,
/// which is six times `record_bytes`.
std::size_t StoreReads(std::size_t record_bytes, duration step) {
  constexpr double kLinkMbps = 1000.0;
  constexpr double kCompressionRatio = 6.0;
  constexpr double kBase64 = 4.0 / 3.0;
  const double bits =
      static_cast<double>(record_bytes) * kCompressionRatio * kBase64 * 8.0;
  const double seconds = std::chrono::duration<double>(step).count();
  return static_cast<std::size_t>(kLinkMbps * 1e6 * seconds / bits);
}

/// Simulates a version that four hosts have at first. Each host receives a
/// random hub's version every 100 ms. A host that peers did not serve in time
/// reads the store.
duration TimeToSpread(const spread_scenario& scenario) {
  constexpr std::size_t kRelayHostCount = 4;
  constexpr duration kMessageInterval = std::chrono::milliseconds(100);
  constexpr std::size_t kMinHubCount = 8;
  constexpr std::size_t kHostsPerHub = 16;
  const std::size_t hubs =
      std::max(kMinHubCount, scenario.hosts / kHostsPerHub);
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::size_t> any_hub(0, hubs - 1);
  std::vector<version_catch_up> hosts(scenario.hosts);
  std::vector<record_rate_limiter> limiters(
      scenario.hosts, record_rate_limiter(scenario.link_mbps));
  std::vector<bool> has_version(scenario.hosts, false);
  std::fill_n(has_version.begin(), kRelayHostCount, true);
  std::vector<bool> needs_store_read(scenario.hosts, false);
  std::size_t missing = scenario.hosts - kRelayHostCount;
  time_point now = kStart;
  while (missing > 0 && now < kStart + std::chrono::seconds(20)) {
    const std::vector<bool> had_version = has_version;
    std::size_t store_reads =
        StoreReads(scenario.record_bytes, kMessageInterval);
    for (std::size_t i = 0; i < scenario.hosts; ++i) {
      const std::size_t hub = any_hub(random);
      if (has_version[i] || (!had_version[hub] && !needs_store_read[i])) {
        continue;
      }
      const catch_up_step step =
          hosts[i].Next(kNewerVersion, kCurrentVersion, false, now);
      needs_store_read[i] =
          needs_store_read[i] || step == catch_up_step::kReadStore;
      if (needs_store_read[i] && store_reads > 0) {
        --store_reads;
        has_version[i] = true;
        --missing;
        continue;
      }
      if (step != catch_up_step::kRequestFromPeer || !had_version[hub]) {
        continue;
      }
      if (limiters[hub].TrySend(scenario.record_bytes, now)) {
        has_version[i] = true;
        --missing;
      } else {
        hosts[i].OnPeerBusy(limiters[hub].RetryAfter(scenario.record_bytes),
                            now);
      }
    }
    now += kMessageInterval;
  }
  return std::chrono::duration_cast<duration>(now - kStart);
}

TEST_CASE("a record reaches all hosts of a fleet with slow links within 6 s",
          "[catch-up]") {
  // 45,000 bytes: 1,400 routes, compressed. 180,000 bytes: the largest value
  // that the store holds under one key, compressed.
  const spread_scenario scenario = GENERATE(
      spread_scenario{18, 20.0, 45'000}, spread_scenario{295, 20.0, 45'000},
      spread_scenario{295, 20.0, 180'000},
      spread_scenario{1200, 20.0, 180'000});
  // The deployment's requirements allow 6 s for a configuration to reach 295
  // hosts.
  CHECK(TimeToSpread(scenario) < std::chrono::seconds(6));
}

}  // namespace
}  // namespace sassafraswick
