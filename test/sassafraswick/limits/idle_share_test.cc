#include "sassafraswick/limits/idle_share.h"

#include <catch2/catch.hpp>

/// @file
/// Tests of idle shares in large fleets, in which most hosts receive no calls
/// of most organisations.

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kHosts = 295;
constexpr rate_limit kLimit{20, 20};
constexpr double kCap = 10.0;

TEST_CASE("idle shares of all hosts refill a shared bucket at the rate",
          "[idle_share]") {
  share_clock clock;
  shared_rate_bucket bucket;
  double given = 0.0;
  for (int second = 0; second < 30; ++second) {
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      AddIdleTime(clock, seconds(1), kHosts);
    }
    RefillSharedBucket(bucket, clock, kLimit, kCap);
    given += ServeTransfer(bucket, kCap, {0.0, 100.0});
  }
  // The cap of 10 discards half of each second's refill of 20.
  CHECK(given == Approx(30 * 10.0).margin(1.0));
}

TEST_CASE("the idle shares of all hosts do not exceed the rate",
          "[idle_share]") {
  share_clock clock;
  shared_rate_bucket bucket;
  double given = 0.0;
  for (int step = 0; step < 100; ++step) {
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      AddIdleTime(clock, milliseconds(100), kHosts);
    }
    RefillSharedBucket(bucket, clock, kLimit, kCap);
    given += ServeTransfer(bucket, kCap, {0.0, 100.0});
  }
  CHECK(given <= 10 * 20.0 + 1e-6);
  CHECK(given > 10 * 20.0 - 2.0);
}

TEST_CASE("a used share of an organisation is not credited", "[idle_share]") {
  share_clock clock;
  shared_rate_bucket used;
  shared_rate_bucket unused;
  RefillSharedBucket(used, clock, kLimit, kCap);
  AddIdleTime(clock, seconds(1), 2);
  SkipIdleTime(used, clock);
  RefillSharedBucket(used, clock, kLimit, kCap);
  RefillSharedBucket(unused, clock, kLimit, kCap);
  CHECK(used.level == 0.0);
  CHECK(unused.level == Approx(10.0));
}

TEST_CASE("the idle time of a suspended host is bounded", "[idle_share]") {
  share_clock clock;
  AddIdleTime(clock, seconds(60), 1);
  CHECK(clock.seconds ==
        Approx(std::chrono::duration<double>(kMaxIdleTimePerMessage).count()));
  AddIdleTime(clock, -seconds(60), 1);
  CHECK(clock.seconds ==
        Approx(std::chrono::duration<double>(kMaxIdleTimePerMessage).count()));
}

TEST_CASE("the report interval grows with the fleet up to a limit",
          "[idle_share]") {
  CHECK(IdleShareInterval(7) == kExchangeInterval);
  CHECK(IdleShareInterval(100) == milliseconds(400));
  CHECK(IdleShareInterval(1200) == milliseconds(1000));
}

TEST_CASE("a lowered limit truncates a shared bucket to its new cap",
          "[idle_share]") {
  share_clock clock;
  shared_rate_bucket bucket;
  AddIdleTime(clock, seconds(1), 1);
  RefillSharedBucket(bucket, clock, kLimit, kCap);
  RefillSharedBucket(bucket, clock, {4, 4}, 2.0);
  CHECK(bucket.level == 2.0);
}

// Regression (mdb-pedidos-large quiet-1): organisations with a rate of 4 per
// second were rejected within their rate, because half of their burst was
// reserved for hosts that they did not call.
TEST_CASE("a large fleet's shared bucket holds a small organisation's burst",
          "[idle_share]") {
  constexpr rate_limit kSmall{4, 4};
  share_clock clock;
  shared_rate_bucket bucket;
  // The bucket has not been used before.
  for (int second = 0; second < 3; ++second) {
    RecordMessage(clock, time_point(std::chrono::hours(1)) + seconds(second));
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      AddIdleTime(clock, seconds(1), kHosts);
    }
  }
  RefillSharedBucket(bucket, clock, kSmall,
                     SharedBucketCapacity(kSmall, kHosts));
  CHECK(ServeTransfer(bucket, SharedBucketCapacity(kSmall, kHosts),
                      {0.0, 4.0}) == 4.0);
  CHECK(SharedBucketCapacity(kSmall, 7) == 2.0);
  CHECK(EstimatedRetryDelay(kSmall, 1) == milliseconds(500));
}

// Regression (bayanihan-auction-grown trouble-3): after a mass start the shared
// buckets waited for half of the first reports for a quarter of a second.
TEST_CASE("the first reports of hosts that start together are soon and spread",
          "[idle_share]") {
  constexpr std::uint64_t kHash = 0x9E3779B97F4A7C15ULL;
  constexpr int kStarting = 131;
  int early = 0;
  for (int host = 0; host < kStarting; ++host) {
    const duration delay =
        FirstReportDelay(kHash * static_cast<std::uint64_t>(host));
    CHECK(delay < milliseconds(200));
    early += delay < milliseconds(100) ? 1 : 0;
  }
  CHECK(early > kStarting / 3);
  CHECK(early < kStarting * 2 / 3);
}

// Otherwise a hub that was frozen would grant its old tokens in addition to
// those that another hub granted meanwhile.
TEST_CASE("a shared bucket that was unused for too long starts empty",
          "[idle_share]") {
  const time_point start(std::chrono::hours(1));
  share_clock clock;
  shared_rate_bucket bucket;
  RecordMessage(clock, start);
  RefillSharedBucket(bucket, clock, kLimit, kCap);
  AddIdleTime(clock, seconds(1), 1);
  RecordMessage(clock, start + kSharedBucketExpiry);
  RefillSharedBucket(bucket, clock, kLimit, kCap);
  CHECK(bucket.level == kCap);
  RecordMessage(clock, start + 2 * kSharedBucketExpiry + milliseconds(1));
  RefillSharedBucket(bucket, clock, kLimit, kCap);
  CHECK(bucket.level == 0.0);
  AddIdleTime(clock, milliseconds(100), 1);
  RefillSharedBucket(bucket, clock, kLimit, kCap);
  CHECK(bucket.level == Approx(2.0));
}

}  // namespace
}  // namespace sassafraswick
