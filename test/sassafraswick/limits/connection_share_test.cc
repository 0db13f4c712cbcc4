#include "sassafraswick/limits/connection_share.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

// Regression (mdb-pedidos trouble-1): all hosts lost power, the instance
// counted their 21 connections for another 3 s, and no request was served for
// 2 s.
TEST_CASE("idle connections take at most half of an instance's limit",
          "[connection_share]") {
  for (const std::uint32_t hosts : {1U, 2U, 7U, 8U, 10U}) {
    for (const std::uint32_t connections : {21U, 32U}) {
      const connection_share share = ShareConnections(connections, hosts);
      CHECK(share.max_idle * hosts * 2 <= connections);
      CHECK(share.max_open >= share.max_idle);
    }
  }
}

// Regression (pgnc-alm trouble-3): busy hosts used up a new primary's
// connections, so that no host could ask it for its status.
TEST_CASE("all hosts together exceed an instance's limit only by rounding",
          "[connection_share]") {
  CHECK(ShareConnections(21, 7).max_open == 3);
  CHECK(ShareConnections(32, 8).max_open == 4);
  CHECK(ShareConnections(82, 90).max_open == kMinOpenConnections);
  CHECK(ShareConnections(82, 90).max_idle == 0);
  for (std::uint32_t hosts = 1; hosts < 16; ++hosts) {
    CHECK(ShareConnections(32, hosts).max_open * hosts <= 32 + hosts / 2);
  }
}

TEST_CASE("every host may open a connection in any fleet size",
          "[connection_share]") {
  CHECK(ShareConnections(20, 90).max_open >= 1);
  CHECK(ShareConnections(1, 90).max_open >= 1);
}

// Regression (pgnc-alm trouble-3): after all hosts were killed, handshakes of
// 12 ms each occupied both slots of every primary, and no request was served
// for 5 s.
TEST_CASE("handshakes occupy a limited fraction of an instance's slots",
          "[open_pace]") {
  constexpr std::uint32_t kHosts = 8;
  constexpr std::uint32_t kSlots = 2;
  connect_rate_limiter limiters[kHosts];
  int opened = 0;
  for (int now = 0; now < 10'000; ++now) {
    for (connect_rate_limiter& limiter : limiters) {
      const time_point at =
          time_point(std::chrono::hours(1)) + std::chrono::milliseconds(now);
      opened += TryAcquireConnect(limiter, kSlots, kHosts, at) ? 1 : 0;
    }
  }
  const double slot_seconds = opened * 0.012;
  CHECK(slot_seconds < kHandshakeSlotFraction * kSlots * 10.0 +
                           kHosts * kConnectBurst * 0.012);
  CHECK(opened > 400);
}

}  // namespace
}  // namespace sassafraswick
