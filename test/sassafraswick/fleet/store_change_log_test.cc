#include "sassafraswick/fleet/store_change_log.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Tests the log of changes that relay hosts keep, and the choice of relay
/// hosts in a large fleet.

namespace sassafraswick {
namespace {

store_item Change(const std::string& key, std::int64_t revision,
                  bool deleted = false) {
  store_item item;
  item.key = key;
  item.value = "value of " + std::to_string(revision);
  item.revision = {1, revision};
  item.deleted = deleted;
  return item;
}

TEST_CASE("a log returns the newest change of each key", "[news_log]") {
  store_change_log log;
  log.Reset({1, 10});
  log.Add(Change("a", 11));
  log.Add(Change("a", 13, true));
  log.Add(Change("b", 12));
  const std::optional<std::vector<store_item>> all = log.ChangesSince({1, 10});
  REQUIRE(all.has_value());
  REQUIRE(all->size() == 2);
  CHECK(all->front().deleted);
  CHECK(log.ChangesSince({1, 12})->size() == 1);
  CHECK(log.ChangesSince({1, 13})->empty());
}

// Otherwise a late change would restore a server that has been removed.
TEST_CASE("an older change does not replace a newer one", "[news_log]") {
  store_change_log log;
  log.Reset({1, 10});
  log.Add(Change("a", 13, true));
  log.Add(Change("a", 11));
  REQUIRE(log.ChangesSince({1, 10})->size() == 1);
  CHECK(log.ChangesSince({1, 10})->front().deleted);
}

TEST_CASE("a log that lacks changes after a revision returns nothing",
          "[news_log]") {
  store_change_log log;
  CHECK_FALSE(log.ChangesSince({1, 0}).has_value());
  log.Reset({1, 10});
  CHECK_FALSE(log.ChangesSince({1, 9}).has_value());
  CHECK(log.ChangesSince({1, 10}).has_value());
  log.Reset({1, 20});
  CHECK_FALSE(log.ChangesSince({1, 19}).has_value());
}

TEST_CASE("few hosts of a large fleet watch the store, all of a small one",
          "[news_log]") {
  const std::vector<std::string> ranked = {"a", "b", "c", "d", "e", "f"};
  CHECK(IsAmongRelayHosts(ranked, "d", 300));
  CHECK_FALSE(IsAmongRelayHosts(ranked, "e", 300));
  CHECK(IsAmongRelayHosts(ranked, "e", 7));
}

TEST_CASE("hosts are spread over the relay hosts", "[news_log]") {
  const std::vector<std::string> ranked = {"a", "b", "c", "d", "e"};
  std::map<std::string, int> polls;
  for (int i = 0; i < 400; ++i) {
    const std::vector<std::string> order =
        RelayHostsFor(ranked, "host" + std::to_string(i));
    REQUIRE(order.size() == kRelayHostCount);
    ++polls[order.front()];
  }
  CHECK(polls.size() == kRelayHostCount);
  for (const std::pair<const std::string, int>& each : polls) {
    CHECK(each.second > 60);
  }
}

}  // namespace
}  // namespace sassafraswick
