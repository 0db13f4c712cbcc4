#include "sassafraswick/fleet/version_catch_up.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace sassafraswick {
namespace {

constexpr std::uint64_t kOwn = 5;
constexpr std::uint64_t kNewer = 8;
const time_point kStart = time_point() + std::chrono::hours(1);

TEST_CASE("a host that is not told by the store asks the peer at once",
          "[catch-up]") {
  version_catch_up catch_up;
  CHECK(catch_up.Next(kOwn, kOwn, false, kStart) == catch_up_step::kNone);
  CHECK(catch_up.Next(kNewer, kOwn, false, kStart) == catch_up_step::kAskPeer);
  // One record at a time.
  CHECK(catch_up.Next(kNewer, kOwn, false, kStart + kRecordTimeout / 2) ==
        catch_up_step::kNone);
}

TEST_CASE("a host that watches the store waits for it first", "[catch-up]") {
  version_catch_up catch_up;
  CHECK(catch_up.Next(kNewer, kOwn, true, kStart) == catch_up_step::kNone);
  CHECK(catch_up.Next(kNewer, kOwn, true, kStart + kWatchGrace) ==
        catch_up_step::kAskPeer);
}

TEST_CASE("a peer that is busy is not waited for", "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewer, kOwn, false, kStart) ==
          catch_up_step::kAskPeer);
  const duration after = std::chrono::milliseconds(20);
  catch_up.OnPeerBusy(after, kStart);
  CHECK(catch_up.Next(kNewer, kOwn, false, kStart + after) ==
        catch_up_step::kAskPeer);
}

TEST_CASE("the store is asked once peers have not helped", "[catch-up]") {
  version_catch_up catch_up;
  int readings = 0;
  int questions = 0;
  const duration length = std::chrono::seconds(10);
  for (time_point now = kStart; now < kStart + length;
       now += std::chrono::milliseconds(50)) {
    const catch_up_step step = catch_up.Next(kNewer, kOwn, false, now);
    readings += step == catch_up_step::kReadStore ? 1 : 0;
    questions += step == catch_up_step::kAskPeer ? 1 : 0;
    if (now - kStart <= kStoreFallbackDelay) {
      CHECK(readings == 0);
    }
  }
  CHECK(readings >= 8);
  CHECK(readings <= 10);
  // Pauses between questions grow to their limit.
  CHECK(questions <= 11);
}

TEST_CASE("a newer version while one is fetched does not start over",
          "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewer, kOwn, false, kStart) ==
          catch_up_step::kAskPeer);
  bool reads = false;
  std::uint64_t version = kNewer;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(3);
       now += std::chrono::milliseconds(100)) {
    reads = reads || catch_up.Next(++version, kOwn, false, now) ==
                         catch_up_step::kReadStore;
  }
  CHECK(reads);
}

TEST_CASE("peers that are behind themselves do not end the pauses",
          "[catch-up]") {
  version_catch_up catch_up;
  int questions = 0;
  bool reads = false;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(3);
       now += std::chrono::milliseconds(20)) {
    const catch_up_step step = catch_up.Next(kNewer, kOwn, false, now);
    questions += step == catch_up_step::kAskPeer ? 1 : 0;
    reads = reads || step == catch_up_step::kReadStore;
    CHECK(catch_up.Next(kOwn, kOwn, false, now) == catch_up_step::kNone);
    CHECK(catch_up.Next(kOwn - 1, kOwn, false, now) == catch_up_step::kNone);
  }
  // After 0, 300, 900 and 2,100 ms.
  CHECK(questions == 4);
  CHECK(reads);
}

TEST_CASE("a version that follows at once is asked for at once", "[catch-up]") {
  version_catch_up catch_up;
  REQUIRE(catch_up.Next(kNewer, kOwn, false, kStart) ==
          catch_up_step::kAskPeer);
  CHECK(catch_up.Next(kNewer, kNewer, false, kStart) == catch_up_step::kNone);
  CHECK(catch_up.Next(kNewer + 1, kNewer, false, kStart) ==
        catch_up_step::kAskPeer);
}

TEST_CASE("records for peers keep to their share of the link", "[catch-up]") {
  constexpr double kLinkMbps = 20.0;
  constexpr std::size_t kRecord = 30'000;
  record_rate_limiter records(kLinkMbps);
  std::size_t sent = 0;
  const duration length = std::chrono::seconds(4);
  for (time_point now = kStart; now < kStart + length;
       now += std::chrono::milliseconds(1)) {
    sent += records.TrySend(kRecord, now) ? kRecord : 0;
  }
  const double share = kLinkMbps * kRecordLinkFraction;
  const double spent = static_cast<double>(sent) * 8 / 1e6 / 4;
  CHECK(spent <= share * 1.05);
  CHECK(spent >= share * 0.9);
  CHECK(records.RetryAfter(kRecord) < std::chrono::milliseconds(60));
}

struct spread {
  std::size_t hosts = 0;
  double link_mbps = 0.0;
  std::size_t record_bytes = 0;
};

/// Readings of the store that its link of 1,000 Mbit/s carries in a step, a
/// third more bytes in Base64 than the record that was compressed to a sixth.
std::size_t StoreReadings(std::size_t record_bytes, duration step) {
  constexpr double kLinkMbps = 1000.0;
  constexpr double kDeflated = 6.0;
  constexpr double kBase64 = 4.0 / 3.0;
  const double bits =
      static_cast<double>(record_bytes) * kDeflated * kBase64 * 8.0;
  const double seconds = std::chrono::duration<double>(step).count();
  return static_cast<std::size_t>(kLinkMbps * 1e6 * seconds / bits);
}

/// Four hosts have a version; everybody hears of it from some hub every 100 ms,
/// as hubs answer. Who has asked peers in vain reads the store.
duration TimeToSpread(const spread& load) {
  constexpr std::size_t kRelayHostCount = 4;
  constexpr duration kHears = std::chrono::milliseconds(100);
  constexpr std::size_t kMinHubCount = 8;
  constexpr std::size_t kHostsPerHub = 16;
  const std::size_t hubs = std::max(kMinHubCount, load.hosts / kHostsPerHub);
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::size_t> any_hub(0, hubs - 1);
  std::vector<version_catch_up> hosts(load.hosts);
  std::vector<record_rate_limiter> paces(load.hosts,
                                         record_rate_limiter(load.link_mbps));
  std::vector<bool> has(load.hosts, false);
  std::fill_n(has.begin(), kRelayHostCount, true);
  std::vector<bool> reads(load.hosts, false);
  std::size_t missing = load.hosts - kRelayHostCount;
  time_point now = kStart;
  while (missing > 0 && now < kStart + std::chrono::seconds(20)) {
    const std::vector<bool> had = has;
    std::size_t readings = StoreReadings(load.record_bytes, kHears);
    for (std::size_t i = 0; i < load.hosts; ++i) {
      const std::size_t hub = any_hub(random);
      if (has[i] || (!had[hub] && !reads[i])) {
        continue;
      }
      const catch_up_step step = hosts[i].Next(kNewer, kOwn, false, now);
      reads[i] = reads[i] || step == catch_up_step::kReadStore;
      if (reads[i] && readings > 0) {
        --readings;
        has[i] = true;
        --missing;
        continue;
      }
      if (step != catch_up_step::kAskPeer || !had[hub]) {
        continue;
      }
      if (paces[hub].TrySend(load.record_bytes, now)) {
        has[i] = true;
        --missing;
      } else {
        hosts[i].OnPeerBusy(paces[hub].RetryAfter(load.record_bytes), now);
      }
    }
    now += kHears;
  }
  return std::chrono::duration_cast<duration>(now - kStart);
}

TEST_CASE("a large record spreads over a large fleet of slow links",
          "[catch-up]") {
  // 1,400 routes, compressed; the most that the store holds under one key.
  const spread load =
      GENERATE(spread{18, 20.0, 45'000}, spread{295, 20.0, 45'000},
               spread{295, 20.0, 180'000}, spread{1200, 20.0, 180'000});
  // The users give a configuration 6 s at 295 hosts.
  CHECK(TimeToSpread(load) < std::chrono::seconds(6));
}

}  // namespace
}  // namespace sassafraswick
