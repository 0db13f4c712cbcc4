#include "sassafraswick/lending/lease_table.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point() + std::chrono::hours(1) +
         std::chrono::milliseconds(milliseconds);
}

lease_key Key(const std::string& host, std::uint64_t boot,
              std::uint64_t number) {
  return lease_key{host, boot, number};
}

TEST_CASE("a lease exists once", "[lease_table]") {
  lease_table table;
  CHECK(table.ObserveBoot("near", 1).empty());
  CHECK(table.TryAdd(Key("near", 1, 1), At(0)));
  CHECK_FALSE(table.TryAdd(Key("near", 1, 1), At(0)));
  CHECK(table.Touch(Key("near", 1, 1), At(1)));
  CHECK_FALSE(table.Touch(Key("far", 1, 1), At(1)));
  table.Remove(Key("near", 1, 1));
  table.Remove(Key("near", 1, 1));
  CHECK(table.Size() == 0);
  CHECK_FALSE(table.Touch(Key("near", 1, 1), At(1)));
}

TEST_CASE("a host that has restarted loses its leases", "[lease_table]") {
  lease_table table;
  CHECK(table.ObserveBoot("near", 1).empty());
  CHECK(table.ObserveBoot("far", 9).empty());
  REQUIRE(table.TryAdd(Key("near", 1, 1), At(0)));
  REQUIRE(table.TryAdd(Key("far", 9, 1), At(0)));
  const std::vector<lease_key> ended = table.ObserveBoot("near", 2);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front() == Key("near", 1, 1));
  CHECK(table.Size() == 1);
  CHECK(table.TryAdd(Key("near", 2, 1), At(0)));

  // A late message of the ended process takes nothing from the new one.
  CHECK(table.ObserveBoot("near", 1).empty());
  CHECK_FALSE(table.TryAdd(Key("near", 1, 2), At(0)));
  CHECK(table.Touch(Key("near", 2, 1), At(1)));
}

TEST_CASE("a lease without messages expires", "[lease_table]") {
  constexpr duration kTimeout = std::chrono::milliseconds(100);
  lease_table table;
  CHECK(table.ObserveBoot("near", 1).empty());
  REQUIRE(table.TryAdd(Key("near", 1, 1), At(0)));
  REQUIRE(table.TryAdd(Key("near", 1, 2), At(0)));
  CHECK(table.Touch(Key("near", 1, 2), At(60)));
  CHECK(table.FindExpired(At(100), kTimeout).empty());
  const std::vector<lease_key> expired = table.FindExpired(At(101), kTimeout);
  REQUIRE(expired.size() == 1);
  CHECK(expired.front() == Key("near", 1, 1));
}

TEST_CASE("leases and their bytes are limited", "[lease_table]") {
  lease_table table;
  CHECK(table.ObserveBoot("near", 1).empty());
  CHECK(table.ObserveBoot("far", 1).empty());
  for (std::size_t i = 0; i < kMaxLeasesPerHost; ++i) {
    REQUIRE(table.TryAdd(Key("near", 1, i), At(0)));
  }
  CHECK_FALSE(table.TryAdd(Key("near", 1, kMaxLeasesPerHost), At(0)));
  CHECK(table.TryAdd(Key("far", 1, 1), At(0)));

  CHECK(table.TryReserve(Key("near", 1, 1), kMaxLentBytesPerHost));
  CHECK_FALSE(table.TryReserve(Key("near", 1, 2), 1));
  CHECK(table.TryReserve(Key("far", 1, 1), 1));
  table.ReleaseBytes(Key("near", 1, 1));
  CHECK(table.TryReserve(Key("near", 1, 2), 1));
  table.Remove(Key("near", 1, 2));
  CHECK(table.TryReserve(Key("near", 1, 1), kMaxLentBytesPerHost));
  CHECK_FALSE(table.TryReserve(Key("near", 1, 2), 1));
}

}  // namespace
}  // namespace sassafraswick
