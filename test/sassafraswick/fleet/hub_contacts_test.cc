#include "sassafraswick/fleet/hub_contacts.h"

#include <catch2/catch.hpp>

/// Pattern: hubs that died, or only went silent, while they stay registered.

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

TEST_CASE("a hub that owes an answer for too long is passed over",
          "[hub_contacts]") {
  hub_contacts contacts;
  contacts.NoteAsked("a", At(0));
  contacts.NoteAsked("a", At(200));
  CHECK_FALSE(contacts.IsSilent("a", At(250)));
  CHECK(contacts.IsSilent("a", At(251)));
  CHECK(contacts.FirstAnswering({"a", "b"}, At(251)) == "b");
  CHECK(contacts.FirstAnswering({"a"}, At(251)).empty());
}

TEST_CASE("a hub that was only slow is used again once it is heard",
          "[hub_contacts]") {
  hub_contacts contacts;
  contacts.NoteAsked("a", At(0));
  REQUIRE(contacts.IsSilent("a", At(5000)));
  contacts.NoteHeard("a");
  CHECK(contacts.FirstAnswering({"a", "b"}, At(5000)) == "a");
}

TEST_CASE("a silent hub is probed at intervals, and nobody waits for it",
          "[hub_contacts]") {
  hub_contacts contacts;
  contacts.NoteAsked("a", At(0));
  CHECK(contacts.TakeDueProbes(At(999)).empty());
  CHECK(contacts.TakeDueProbes(At(1000)) == std::vector<std::string>{"a"});
  CHECK(contacts.TakeDueProbes(At(1999)).empty());
  CHECK(contacts.TakeDueProbes(At(2000)) == std::vector<std::string>{"a"});
  CHECK(contacts.IsSilent("a", At(2000)));
}

TEST_CASE("hosts that left the fleet are forgotten", "[hub_contacts]") {
  hub_contacts contacts;
  contacts.NoteAsked("a", At(0));
  contacts.NoteAsked("b", At(0));
  contacts.Retain({"b", "c"});
  CHECK_FALSE(contacts.IsSilent("a", At(1000)));
  CHECK(contacts.IsSilent("b", At(1000)));
}

}  // namespace
}  // namespace sassafraswick
