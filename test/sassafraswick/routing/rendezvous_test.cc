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

// Regression (bayanihan-auction-grown trouble-3): seven of eight hubs had a
// sixth of the largest hosts' capacity and no processor time left, so tokens
// came too late.
TEST_CASE("the hosts with the most capacity are hubs", "[rendezvous]") {
  constexpr std::size_t kFleetSize = 130;
  std::vector<std::string> hosts;
  std::vector<double> cores;
  for (std::size_t i = 0; i < kFleetSize; ++i) {
    hosts.push_back("host" + std::to_string(i));
    cores.push_back(i % 13 == 0 ? 0.5 : 0.084);
  }
  const auto is_large = [&hosts, &cores](const std::string& host) {
    const auto at = std::find(hosts.begin(), hosts.end(), host);
    return cores.at(static_cast<std::size_t>(at - hosts.begin())) > 0.1;
  };
  const std::vector<std::string> hubs = HubHosts(hosts, cores);
  CHECK(hubs.size() == kMinHubs);
  CHECK(std::all_of(hubs.begin(), hubs.end(), is_large));
  // Small differences and unknown capacities change nothing.
  CHECK(HubHosts(hosts, std::vector<double>(kFleetSize, 0.5)) ==
        HubHosts(hosts));
  std::vector<double> similar = cores;
  similar.front() = 0.6;
  CHECK(HubHosts(hosts, similar) == hubs);
  // Until all hosts have registered a capacity, the choice is that of hosts
  // which know none.
  std::vector<double> incomplete = cores;
  incomplete.back() = 0.0;
  CHECK(HubHosts(hosts, incomplete) == HubHosts(hosts));
  // Other hosts follow, for the case that the hubs fail together.
  hub_ranking ranking;
  ranking.SetHosts(hosts, cores);
  const std::vector<std::string>& ranked = ranking.RankedHubs("organisation");
  CHECK(std::all_of(ranked.begin(), ranked.begin() + kMinHubs, is_large));
  CHECK(ranked.size() > kMinHubs + kMinHubs / 2);
}

}  // namespace
}  // namespace sassafraswick
