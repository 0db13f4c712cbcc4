#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "sassafraswick/gateway/registry.h"

/// @file
/// Hosts of this build and of earlier ones read each other's entries in the
/// store during an upgrade and a rollback.

namespace sassafraswick {
namespace {

/// Entries under one lease.
std::vector<store_item> Items(const std::map<std::string, std::string>& entries,
                              std::uint64_t lease) {
  std::vector<store_item> items;
  for (const std::pair<const std::string, std::string>& entry : entries) {
    items.push_back({entry.first,
                     entry.second,
                     {1, static_cast<std::int64_t>(lease)},
                     lease,
                     false});
  }
  return items;
}

/// Entries as earlier builds write them.
const std::map<std::string, std::string> kEarlierEntries = {
    {"sassafraswick/host/a", "10.1.0.26:7560"},
    {"sassafraswick/failover", "a/12345"}};

/// Entries as this build writes them.
const std::map<std::string, std::string> kEntries = {
    {"sassafraswick/capacity/b", "cores=0.25 zone=leon-a"},
    {"sassafraswick/host/b", "10.1.0.27:7560"},
    {"sassafraswick/failover", "b/6"}};

/// What builds before the capacities of hosts read from the entries.
struct earlier_registry {
  std::map<std::string, std::string> hosts;
  std::string holder;

  void Apply(const std::vector<store_item>& items) {
    constexpr std::string_view kHosts = "sassafraswick/host/";
    for (const store_item& item : items) {
      if (item.key.starts_with(kHosts)) {
        const result<endpoint> address = ParseEndpoint(item.value);
        if (address) {
          hosts[item.key.substr(kHosts.size())] =
              FormatEndpoint(address.value());
        }
      } else if (item.key == "sassafraswick/failover") {
        holder = item.value;
      }
    }
  }
};

TEST_CASE("earlier builds find the hosts of this one", "[registry][earlier]") {
  earlier_registry read;
  read.Apply(Items(kEntries, 8));
  CHECK(read.hosts ==
        std::map<std::string, std::string>{{"b", "10.1.0.27:7560"}});
  CHECK(read.holder == "b/6");
}

TEST_CASE("this build writes the entries that earlier ones know",
          "[registry][earlier]") {
  CHECK(std::string(kHostsPrefix) + "b" == "sassafraswick/host/b");
  CHECK(kFailoverKey == "sassafraswick/failover");
  CHECK(std::string(kCapacityPrefix) + "b" == "sassafraswick/capacity/b");
  CHECK(FormatEndpoint(ParseEndpoint("10.1.0.27:7560").value()) ==
        kEntries.at("sassafraswick/host/b"));
  CHECK(FormatCapacityEntry({0.25, "leon-a"}) ==
        kEntries.at("sassafraswick/capacity/b"));
}

TEST_CASE("a host of an earlier build is found but lends nothing",
          "[registry][earlier]") {
  host_registry registry;
  LoadRegistry(registry, {Items(kEarlierEntries, 7), {1, 9}}, time_point());
  for (const store_item& item : Items(kEntries, 8)) {
    ApplyRegistryItem(registry, item, time_point());
  }
  CHECK(registry.names == std::vector<std::string>{"a", "b"});
  CHECK(FormatEndpoint(registry.hosts.at("a")) == "10.1.0.26:7560");
  CHECK(registry.failover.holder == "b/6");
  CHECK(HomeCandidates(registry) ==
        std::vector<home_candidate>{{"b", "leon-a", 0.25}});
}

}  // namespace
}  // namespace sassafraswick
