#include "sassafraswick/gateway/target_group.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "platform/line_codec.h"

namespace sassafraswick {
namespace {

using group = target_group<platform::line_codec>;

std::shared_ptr<group> GroupOfThree(boost::asio::io_context& context,
                                    gateway_counters& counters) {
  std::shared_ptr<group> made =
      std::make_shared<group>(context, "orders", "zone-a", counters);
  for (const char* const id : {"a", "b", "c"}) {
    target_record record;
    record.id = id;
    record.pool = "orders";
    made->Update(record);
  }
  return made;
}

void ObserveFailures(group& observed, failure_code code) {
  constexpr int kFailures = 20;
  statement_result response;
  response.failure = code;
  for (int i = 0; i < kFailures; ++i) {
    observed.Observe(*observed.Find("b"), response, monotonic_clock::now());
  }
}

// A replica that was overloaded rejected statements and was ejected; its load
// then overloaded the others.
TEST_CASE("rejections of an overloaded instance do not eject it",
          "[target_group]") {
  boost::asio::io_context context;
  gateway_counters counters;
  const std::shared_ptr<group> overloaded = GroupOfThree(context, counters);
  ObserveFailures(*overloaded, failure_code::kBusy);
  CHECK(counters.instances_ejected == 0);
  CHECK(overloaded->Find("b")->score.FailureRate(monotonic_clock::now()) > 0.0);
  CHECK(overloaded->Find("b")->score.Admits(monotonic_clock::now(), 0));
}

TEST_CASE("an instance whose statements fail is ejected", "[target_group]") {
  boost::asio::io_context context;
  gateway_counters counters;
  const std::shared_ptr<group> failing = GroupOfThree(context, counters);
  ObserveFailures(*failing, failure_code::kStatementFailed);
  CHECK(counters.instances_ejected == 1);
  CHECK_FALSE(failing->Find("b")->score.Admits(monotonic_clock::now(), 0));
}

}  // namespace
}  // namespace sassafraswick
