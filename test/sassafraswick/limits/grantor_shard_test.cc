#include "sassafraswick/limits/grantor_shard.h"

#include <catch2/catch.hpp>

#include "sassafraswick/routing/rendezvous.h"
#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

const grantor_settings kSettings;

membership Fleet(const std::string& self) {
  member own;
  own.host = self;
  own.boot = 1;
  membership fleet = MakeMembership(own);
  for (const char* const name : {"a", "b", "c"}) {
    fleet.members[name].host = name;
    fleet.members[name].boot = 1;
    fleet.members[name].listed = true;
  }
  return fleet;
}

TEST_CASE("exactly one live host claims a shard whose holder is dead",
          "[grantor]") {
  for (std::uint32_t index = 0; index < kGrantorShardCount; ++index) {
    int claims = 0;
    for (const char* const self : {"a", "b"}) {
      membership fleet = Fleet(self);
      grantor_shard shard;
      UpdateGrantor(shard, 5, "c", 1);
      CHECK_FALSE(ShouldClaim(shard, index, fleet));
      fleet.members["c"].state = member_state::kDead;
      claims += ShouldClaim(shard, index, fleet) ? 1 : 0;
    }
    CHECK(claims == 1);
  }
}

TEST_CASE("a restarted host no longer holds its shards", "[grantor]") {
  membership fleet = Fleet("a");
  grantor_shard shard;
  UpdateGrantor(shard, 5, "a", 1);
  shard.confirmed_at = At(0);
  CHECK(MayGrant(shard, fleet, kSettings, false, At(1)));
  fleet.members["a"].boot = 2;
  CHECK_FALSE(MayGrant(shard, fleet, kSettings, false, At(1)));
}

TEST_CASE("granting needs a majority and a confirmation or a store outage",
          "[grantor]") {
  membership fleet = Fleet("a");
  grantor_shard shard;
  UpdateGrantor(shard, 5, "a", 1);
  shard.confirmed_at = At(0);
  shard.active_from = At(100);
  CHECK_FALSE(MayGrant(shard, fleet, kSettings, false, At(99)));
  CHECK(MayGrant(shard, fleet, kSettings, false, At(1499)));
  CHECK_FALSE(MayGrant(shard, fleet, kSettings, false, At(1500)));
  CHECK(MayGrant(shard, fleet, kSettings, true, At(60'000)));
  fleet.members["b"].state = member_state::kDead;
  CHECK(MayGrant(shard, fleet, kSettings, true, At(60'000)));
  fleet.members["c"].state = member_state::kSuspected;
  CHECK_FALSE(MayGrant(shard, fleet, kSettings, true, At(60'000)));
}

TEST_CASE("a grantor of an older or equal epoch is ignored", "[grantor]") {
  grantor_shard shard;
  CHECK(UpdateGrantor(shard, 5, "a", 1));
  CHECK_FALSE(UpdateGrantor(shard, 4, "b", 1));
  CHECK_FALSE(UpdateGrantor(shard, 5, "b", 1));
  CHECK(shard.host == "a");
}

TEST_CASE("removing a host reassigns only its own names", "[rendezvous]") {
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "group" + std::to_string(i);
    const std::string before = RendezvousOrder(name, {"a", "b", "c"})[0];
    const std::string after = RendezvousOrder(name, {"a", "b"})[0];
    CHECK((before == after || before == "c"));
    moved += before == "c" ? 1 : 0;
  }
  CHECK(moved > 50);
  CHECK(moved < 150);
}

}  // namespace
}  // namespace sassafraswick
