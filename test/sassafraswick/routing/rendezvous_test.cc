#include "sassafraswick/routing/rendezvous.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

TEST_CASE("a large fleet has few hubs; in a small one all hosts are hubs",
          "[rendezvous]") {
  constexpr std::size_t kFleetSize = 165;
  std::vector<std::string> hosts;
  hosts.reserve(kFleetSize);
  for (int i = 0; i < 7; ++i) {
    hosts.push_back("host" + std::to_string(i));
  }
  CHECK(HubHosts(hosts).size() == 7);
  for (int i = 7; i < 165; ++i) {
    hosts.push_back("host" + std::to_string(i));
  }
  const std::vector<std::string> hubs = HubHosts(hosts);
  CHECK(hubs.size() == 10);
  // Removing a host that is not a hub does not change the hubs.
  const auto other = std::find_if(
      hosts.begin(), hosts.end(), [&hubs](const std::string& host) {
        return std::find(hubs.begin(), hubs.end(), host) == hubs.end();
      });
  REQUIRE(other != hosts.end());
  hosts.erase(other);
  CHECK(HubHosts(hosts) == hubs);
}

}  // namespace
}  // namespace sassafraswick
