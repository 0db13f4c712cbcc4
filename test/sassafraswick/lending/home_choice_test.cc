#include "sassafraswick/lending/home_choice.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

time_point At(duration since) {
  return time_point() + std::chrono::hours(1) + since;
}

TEST_CASE("the best ranked home that answers is asked", "[home_choice]") {
  const std::vector<std::string> homes{"first", "second"};
  home_monitor monitor;
  const time_point now = At(duration(0));
  home_choice choice = ChooseHome(homes, 0, "entry", monitor, now);
  CHECK(choice.step == home_step::kBorrow);
  CHECK(choice.home == "first");

  monitor.RecordSilence("first", now);
  choice = ChooseHome(homes, choice.next, "entry", monitor, now);
  CHECK(choice.home == "second");
  CHECK(ChooseHome(homes, 0, "entry", monitor, now).home == "second");
  CHECK(ChooseHome(homes, choice.next, "entry", monitor, now).step ==
        home_step::kOpenOwn);

  monitor.RecordMessage("first");
  CHECK(ChooseHome(homes, 0, "entry", monitor, now).home == "first");
}

TEST_CASE("a home serves its own callers", "[home_choice]") {
  const std::vector<std::string> homes{"first", "second"};
  home_monitor monitor;
  const time_point now = At(duration(0));
  CHECK(ChooseHome(homes, 0, "first", monitor, now).step == home_step::kServe);
  CHECK(ChooseHome(homes, 0, "second", monitor, now).home == "first");
  monitor.RecordSilence("first", now);
  CHECK(ChooseHome(homes, 0, "second", monitor, now).step == home_step::kServe);
  CHECK(ChooseHome({}, 0, "first", monitor, now).step == home_step::kOpenOwn);
}

TEST_CASE("one request at a time tries a silent home", "[home_choice]") {
  home_monitor monitor;
  monitor.RecordSilence("first", At(duration(0)));
  CHECK_FALSE(monitor.TryUse(
      "first", At(kSilentHomeRetryInterval - std::chrono::milliseconds(1))));
  CHECK(monitor.TryUse("first", At(kSilentHomeRetryInterval)));
  CHECK_FALSE(monitor.TryUse("first", At(kSilentHomeRetryInterval)));
  CHECK(monitor.TryUse("first", At(2 * kSilentHomeRetryInterval)));
}

}  // namespace
}  // namespace sassafraswick
