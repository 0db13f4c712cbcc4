#include "sassafraswick/lending/home_assignment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "sassafraswick/lending/home_directory.h"

namespace sassafraswick {
namespace {

constexpr int kZones = 3;
constexpr double kLarge = 0.5;
constexpr double kSmall = 0.084;

std::string Zone(int index) { return "zone-" + std::to_string(index % kZones); }

std::vector<instance_location> Instances(int count) {
  std::vector<instance_location> instances;
  for (int i = 0; i < count; ++i) {
    instances.push_back({"orders-" + std::to_string(i), Zone(i)});
  }
  return instances;
}

/// 8 hosts of 0.5 cores and 68 of 0.084.
std::vector<home_candidate> Hosts() {
  constexpr int kHosts = 76;
  constexpr int kLargeHosts = 8;
  std::vector<home_candidate> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back({"host-" + std::to_string(i), Zone(i),
                     i < kLargeHosts ? kLarge : kSmall});
  }
  return hosts;
}

double CapacityOfZone(const std::vector<home_candidate>& hosts,
                      const std::string& zone) {
  double total = 0.0;
  for (const home_candidate& host : hosts) {
    total += host.availability_zone == zone ? host.capacity : 0.0;
  }
  return total;
}

/// Number of instances whose home differs.
int CountMoved(const std::map<std::string, std::string>& before,
               const std::map<std::string, std::string>& after) {
  int moved = 0;
  for (const std::pair<const std::string, std::string>& each : before) {
    const auto found = after.find(each.first);
    moved += found != after.end() && found->second != each.second ? 1 : 0;
  }
  return moved;
}

TEST_CASE("no host is home of more than its share", "[homes]") {
  const int count = GENERATE(1, 24, 90);
  const std::vector<home_candidate> hosts = Hosts();
  const std::vector<instance_location> instances = Instances(count);
  const std::map<std::string, std::string> homes =
      AssignHomes(instances, hosts);
  REQUIRE(homes.size() == instances.size());
  std::map<std::string, int> loads;
  std::map<std::string, int> in_zone;
  for (const instance_location& instance : instances) {
    ++loads[homes.at(instance.id)];
    ++in_zone[instance.availability_zone];
  }
  for (const home_candidate& host : hosts) {
    const double share = in_zone[host.availability_zone] * host.capacity /
                         CapacityOfZone(hosts, host.availability_zone);
    CHECK(loads[host.host] <= std::ceil(kHomeLoadFactor * share));
  }
}

TEST_CASE("homes stand in the zone of their instances", "[homes]") {
  std::map<std::string, std::string> zone_of;
  for (const home_candidate& host : Hosts()) {
    zone_of[host.host] = host.availability_zone;
  }
  const std::vector<instance_location> instances = Instances(90);
  const std::map<std::string, std::string> homes =
      AssignHomes(instances, Hosts());
  for (const instance_location& instance : instances) {
    CHECK(zone_of.at(homes.at(instance.id)) == instance.availability_zone);
  }
}

TEST_CASE("all hosts assign alike whatever the order", "[homes]") {
  std::vector<home_candidate> hosts = Hosts();
  std::vector<instance_location> instances = Instances(24);
  const std::map<std::string, std::string> homes =
      AssignHomes(instances, hosts);
  std::reverse(hosts.begin(), hosts.end());
  std::reverse(instances.begin(), instances.end());
  CHECK(AssignHomes(instances, hosts) == homes);
}

TEST_CASE("a change of hosts or instances moves few homes", "[homes]") {
  const std::vector<home_candidate> hosts = Hosts();
  const std::vector<instance_location> instances = Instances(24);
  const std::map<std::string, std::string> homes =
      AssignHomes(instances, hosts);
  int moved_by_hosts = 0;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    std::vector<home_candidate> fewer = hosts;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    moved_by_hosts += CountMoved(homes, AssignHomes(instances, fewer));
  }
  int moved_by_instances = 0;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    std::vector<instance_location> fewer = instances;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    moved_by_instances += CountMoved(homes, AssignHomes(fewer, hosts));
  }
  INFO("moved by hosts " << moved_by_hosts << ", by instances "
                         << moved_by_instances);
  // Removing each host once moves each home at least once.
  CHECK(moved_by_hosts <= 2 * static_cast<int>(instances.size()));
  CHECK(moved_by_instances <= static_cast<int>(instances.size()));
}

TEST_CASE("instances of a zone without hosts are spread over all", "[homes]") {
  const std::vector<home_candidate> hosts = {
      {"a", "A", kLarge}, {"b", "B", kLarge}, {"odd", "B", -1.0}};
  const std::map<std::string, std::string> homes = AssignHomes(
      {{"i-0", "C"}, {"i-1", "C"}, {"i-2", "C"}, {"i-3", "C"}}, hosts);
  int at_first = 0;
  for (const std::pair<const std::string, std::string>& each : homes) {
    at_first += each.second == "a" ? 1 : 0;
  }
  CHECK(at_first >= 1);
  CHECK(at_first <= 3);
  CHECK(AssignHomes({{"i-0", "C"}}, {}).empty());
  CHECK(AssignHomes(Instances(10'000), hosts).empty());
}

TEST_CASE("a directory puts the balanced home first", "[homes]") {
  home_directory directory;
  directory.SetCandidates(Hosts());
  directory.SetInstances(Instances(24));
  const std::map<std::string, std::string> homes =
      AssignHomes(Instances(24), Hosts());
  for (const instance_location& instance : Instances(24)) {
    const std::vector<std::string>& found =
        directory.HomesOf(instance.id, instance.availability_zone);
    REQUIRE(found.size() == kHomesPerInstance);
    CHECK(found[0] == homes.at(instance.id));
    CHECK(found[1] != found[0]);
  }
  CHECK(directory.HomesOf("unknown", "zone-0") ==
        RankHomes("unknown", "zone-0", Hosts(), kHomesPerInstance));
}

}  // namespace
}  // namespace sassafraswick
