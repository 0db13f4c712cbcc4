#include "sassafraswick/lending/instance_home.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>

#include "sassafraswick/lending/home_directory.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kInstances = 4000;

/// Hosts `A0` to `A7` of 0.5 cores and `A8` to `A23` of 0.084.
std::vector<home_candidate> MixedZone(const std::string& zone) {
  constexpr int kLargeHosts = 8;
  constexpr int kHosts = 24;
  std::vector<home_candidate> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(
        {zone + std::to_string(i), zone, i < kLargeHosts ? 0.5 : 0.084});
  }
  return hosts;
}

std::string Instance(std::size_t index) {
  return "orders-" + std::to_string(index);
}

std::map<std::string, std::string> HomeOfEach(
    const std::vector<home_candidate>& candidates) {
  std::map<std::string, std::string> homes;
  for (std::size_t i = 0; i < kInstances; ++i) {
    homes[Instance(i)] = RankHomes(Instance(i), "A", candidates, 1).at(0);
  }
  return homes;
}

TEST_CASE("hosts are homes in proportion to their capacity", "[homes]") {
  const std::vector<home_candidate> candidates = MixedZone("A");
  double total = 0.0;
  for (const home_candidate& candidate : candidates) {
    total += candidate.capacity;
  }
  std::map<std::string, double> count;
  for (const std::pair<const std::string, std::string>& each :
       HomeOfEach(candidates)) {
    ++count[each.second];
  }
  for (const home_candidate& candidate : candidates) {
    const double expected = kInstances * candidate.capacity / total;
    CHECK(count[candidate.host] == Approx(expected).epsilon(0.35));
  }
}

TEST_CASE("a host that joins or leaves moves only its own instances",
          "[homes]") {
  const std::vector<home_candidate> all = MixedZone("A");
  std::vector<home_candidate> fewer = all;
  const std::string left = fewer.at(3).host;
  fewer.erase(fewer.begin() + 3);
  const std::map<std::string, std::string> before = HomeOfEach(all);
  const std::map<std::string, std::string> after = HomeOfEach(fewer);
  for (const std::pair<const std::string, std::string>& each : before) {
    if (each.second == left) {
      CHECK(after.at(each.first) == RankHomes(each.first, "A", all, 2).at(1));
    } else {
      CHECK(after.at(each.first) == each.second);
    }
  }
}

TEST_CASE("the order of the candidates does not change the ranking",
          "[homes]") {
  std::vector<home_candidate> candidates = MixedZone("A");
  const std::vector<std::string> ranking =
      RankHomes("orders-1", "A", candidates, candidates.size());
  std::reverse(candidates.begin(), candidates.end());
  CHECK(RankHomes("orders-1", "A", candidates, candidates.size()) == ranking);
}

TEST_CASE("hosts in the instance's zone come first", "[homes]") {
  std::vector<home_candidate> candidates = MixedZone("A");
  candidates.push_back({"b", "B", 0.084});
  const std::vector<std::string> homes =
      RankHomes("orders-1", "B", candidates, 2);
  REQUIRE(homes.size() == 2);
  CHECK(homes[0] == "b");
  CHECK(homes[1] == RankHomes("orders-1", "C", MixedZone("A"), 1).at(0));
}

TEST_CASE("few or no candidates give a short ranking", "[homes]") {
  CHECK(RankHomes("orders-1", "A", {}, 2).empty());
  CHECK(RankHomes("orders-1", "A", {{"a", "A", 0.25}}, 2) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("hosts without a usable capacity are left out", "[homes]") {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  const std::vector<home_candidate> candidates = {
      {"zero", "A", 0.0},         {"negative", "A", -1.0},
      {"nan", "A", kNan},         {"infinite", "A", kInfinity},
      {"absurd", "A", 1e9},       {"tiny", "A", 1e-300},
      {"denormal", "A", 4.9e-324}};
  const std::vector<std::string> homes =
      RankHomes("orders-1", "A", candidates, candidates.size());
  CHECK(std::set<std::string>(homes.begin(), homes.end()) ==
        std::set<std::string>{"tiny", "denormal"});
}

TEST_CASE("a directory follows changes of the candidates", "[homes]") {
  home_directory directory;
  CHECK(directory.HomesOf("orders-1", "A").empty());
  directory.SetCandidates({{"a", "A", 0.5}, {"b", "B", 0.5}});
  CHECK(directory.HomesOf("orders-1", "A") ==
        std::vector<std::string>{"a", "b"});
  CHECK(directory.HomesOf("orders-1", "B") ==
        std::vector<std::string>{"b", "a"});
  directory.SetCandidates({{"b", "B", 0.5}});
  CHECK(directory.HomesOf("orders-1", "A") == std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace sassafraswick
