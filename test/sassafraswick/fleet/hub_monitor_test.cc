#include "sassafraswick/fleet/hub_monitor.h"

#include <catch2/catch.hpp>

/// Tests the detection of hubs that failed or respond late while they are still
/// registered.

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

TEST_CASE("a hub that does not respond in time is unresponsive",
          "[hub_contacts]") {
  hub_monitor monitor;
  monitor.RecordRequest("a", At(0));
  monitor.RecordRequest("a", At(200));
  CHECK_FALSE(monitor.IsUnresponsive("a", At(250)));
  CHECK(monitor.IsUnresponsive("a", At(251)));
  CHECK(monitor.FirstResponsive({"a", "b"}, At(251)) == "b");
  CHECK(monitor.FirstResponsive({"a"}, At(251)).empty());
}

TEST_CASE("a slow hub is used again once a message arrives", "[hub_contacts]") {
  hub_monitor monitor;
  monitor.RecordRequest("a", At(0));
  REQUIRE(monitor.IsUnresponsive("a", At(5000)));
  monitor.RecordMessage("a");
  CHECK(monitor.FirstResponsive({"a", "b"}, At(5000)) == "a");
}

TEST_CASE("an unresponsive hub is probed at intervals and stays unresponsive",
          "[hub_contacts]") {
  hub_monitor monitor;
  monitor.RecordRequest("a", At(0));
  CHECK(monitor.TakeDueProbes(At(999)).empty());
  CHECK(monitor.TakeDueProbes(At(1000)) == std::vector<std::string>{"a"});
  CHECK(monitor.TakeDueProbes(At(1999)).empty());
  CHECK(monitor.TakeDueProbes(At(2000)) == std::vector<std::string>{"a"});
  CHECK(monitor.IsUnresponsive("a", At(2000)));
}

TEST_CASE("state of hosts that left the fleet is dropped", "[hub_contacts]") {
  hub_monitor monitor;
  monitor.RecordRequest("a", At(0));
  monitor.RecordRequest("b", At(0));
  monitor.Retain({"b", "c"});
  CHECK_FALSE(monitor.IsUnresponsive("a", At(1000)));
  CHECK(monitor.IsUnresponsive("b", At(1000)));
}

}  // namespace
}  // namespace sassafraswick
