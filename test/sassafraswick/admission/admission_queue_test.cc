#include "sassafraswick/admission/admission_queue.h"

#include <catch2/catch.hpp>
#include <random>

#include "test/sassafraswick/admission/queue_load.h"

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;
using test::MakeStatement;
using test::played_statement;
using test::queue_load;

constexpr std::uint32_t kSlots = 4;

/// Adds statements with exponential gaps, each of a random organisation.
void AddSteadyLoad(queue_load& load, std::mt19937& random,
                   std::uint32_t priority, int organisations, double per_second,
                   duration work, duration budget, duration until) {
  std::exponential_distribution<double> gap(per_second);
  std::uniform_int_distribution<int> organisation(1, organisations);
  for (double at = gap(random); at < ToMilliseconds(until) / 1000.0;
       at += gap(random)) {
    load.Add(MakeStatement(
        priority, "organisation-" + std::to_string(organisation(random)),
        duration(static_cast<duration::rep>(at * 1e6)), work, budget));
  }
}

TEST_CASE("a burst of slow reads before the most urgent writes",
          "[admission]") {
  queue_load load(kSlots);
  for (int i = 0; i < 60; ++i) {
    load.Add(MakeStatement(2, "auction", duration(i), milliseconds(30),
                           milliseconds(500)));
  }
  for (int i = 0; i < 10; ++i) {
    load.Add(MakeStatement(0, "auction", milliseconds(5 + 40 * i),
                           milliseconds(6), milliseconds(900)));
  }
  for (const played_statement& statement : load.Play()) {
    if (statement.request.priority == 0) {
      REQUIRE(statement.started_at.has_value());
      // One running statement, and the one that is on its way.
      CHECK(statement.Wait() <= milliseconds(30));
    }
  }
}

TEST_CASE("one organisation at 7.5 times its usual load next to 79 others",
          "[admission]") {
  struct outcome {
    duration mean_wait_of_others = duration::zero();
    int others_rejected = 0;
    int excess_rejected = 0;
    int excess_served = 0;
  };
  const auto play = [](double factor) {
    queue_load load(kSlots);
    std::mt19937 random(7);
    AddSteadyLoad(load, random, 1, 79, 120, milliseconds(18), milliseconds(125),
                  std::chrono::seconds(10));
    std::exponential_distribution<double> gap(24.0 * factor);
    for (double at = gap(random); at < 10.0; at += gap(random)) {
      load.Add(MakeStatement(1, "hot",
                             duration(static_cast<duration::rep>(at * 1e6)),
                             milliseconds(18), milliseconds(125)));
    }
    outcome seen;
    duration waited = duration::zero();
    int served = 0;
    for (const played_statement& statement : load.Play()) {
      const bool is_hot = statement.request.organisation == "hot";
      if (statement.rejected_at.has_value()) {
        ++(is_hot ? seen.excess_rejected : seen.others_rejected);
        CHECK(*statement.rejected_at - statement.arrives_at <=
              statement.Budget() / 2);
      } else if (is_hot) {
        ++seen.excess_served;
      } else {
        waited += statement.Wait();
        ++served;
      }
    }
    seen.mean_wait_of_others = waited / std::max(served, 1);
    return seen;
  };
  const outcome usual = play(1.0);
  const outcome hot = play(7.5);
  CHECK(usual.others_rejected == 0);
  CHECK(hot.others_rejected == 0);
  CHECK(hot.excess_rejected > 0);
  CHECK(hot.excess_served > 10 * 60);
  // An idle slot is no longer free at once, but the backlog is not ahead.
  CHECK(hot.mean_wait_of_others <= usual.mean_wait_of_others +
                                       milliseconds(18) / kSlots +
                                       milliseconds(18));
}

TEST_CASE("1.7 times what the slots can do for 3 s", "[admission]") {
  queue_load load(kSlots);
  std::mt19937 random(3);
  AddSteadyLoad(load, random, 0, 80, 100, milliseconds(6), milliseconds(75),
                std::chrono::seconds(3));
  AddSteadyLoad(load, random, 1, 80, 230, milliseconds(18), milliseconds(125),
                std::chrono::seconds(3));
  AddSteadyLoad(load, random, 2, 80, 70, milliseconds(30), milliseconds(500),
                std::chrono::seconds(3));
  std::map<std::uint32_t, int> served;
  std::map<std::uint32_t, int> total;
  int rejected = 0;
  int rejected_on_arrival = 0;
  duration busy = duration::zero();
  for (const played_statement& statement : load.Play()) {
    ++total[statement.request.priority];
    if (statement.started_at.has_value()) {
      ++served[statement.request.priority];
      busy += statement.work;
      CHECK(statement.Wait() <= statement.Budget());
    } else {
      ++rejected;
      rejected_on_arrival +=
          *statement.rejected_at == statement.arrives_at ? 1 : 0;
      CHECK(statement.reason != rejection_reason::kExpired);
      CHECK(*statement.rejected_at - statement.arrives_at <=
            statement.Budget() / 2);
    }
  }
  CHECK(rejected_on_arrival > rejected / 2);
  CHECK(served[0] == total[0]);
  CHECK(served[1] > served[2]);
  // Nobody is rejected while a slot is free.
  CHECK(busy > std::chrono::seconds(3) * kSlots * 19 / 20);
}

TEST_CASE("rejected callers come back one after another, urgent ones first",
          "[admission]") {
  queue_load load(kSlots);
  for (int i = 0; i < 200; ++i) {
    load.Add(MakeStatement(i % 2 == 0 ? 2 : 0, "caller", duration(i),
                           milliseconds(20), milliseconds(100)));
  }
  std::map<std::uint32_t, std::vector<duration>> returns;
  for (const played_statement& statement : load.Play()) {
    if (statement.rejected_at.has_value()) {
      returns[statement.request.priority].push_back(*statement.rejected_at +
                                                    statement.retry_after);
    }
  }
  REQUIRE(returns[0].size() > 20);
  REQUIRE(returns[2].size() > 20);
  for (std::vector<duration>& times :
       {std::ref(returns[0]), std::ref(returns[2])}) {
    std::sort(times.begin(), times.end());
    for (std::size_t i = 1; i < times.size(); ++i) {
      // No faster than the slots can serve them.
      CHECK(times[i] - times[i - 1] >= milliseconds(20) / kSlots);
    }
  }
  CHECK(returns[0][returns[0].size() / 2] < returns[2][returns[2].size() / 2]);
}

TEST_CASE("urgent statements arrive before a queue that is full",
          "[admission]") {
  admission_queue queue(kSlots);
  const time_point now;
  admission_request request;
  request.expected_work = milliseconds(20);
  request.priority = 2;
  request.latest_start = now + milliseconds(100);
  while (queue.Submit(request, now).rejected.empty()) {
    ++request.id;
  }
  const ticket_id last_patient = request.id;
  request.priority = 0;
  request.latest_start = now + milliseconds(200);
  std::vector<admission_rejection> displaced;
  for (int i = 0; i < 12; ++i) {
    ++request.id;
    for (const admission_rejection& rejection :
         queue.Submit(request, now).rejected) {
      displaced.push_back(rejection);
    }
  }
  REQUIRE_FALSE(displaced.empty());
  for (const admission_rejection& rejection : displaced) {
    CHECK(rejection.id < last_patient);
    CHECK(rejection.reason == rejection_reason::kDisplaced);
    CHECK(rejection.retry_after > duration::zero());
  }
}

TEST_CASE("urgent statements that fill all slots do not starve others",
          "[admission]") {
  queue_load load(kSlots);
  for (int i = 0; i < 3000; ++i) {
    load.Add(MakeStatement(0, "urgent", duration(1000 * i), milliseconds(5),
                           milliseconds(50)));
  }
  for (int i = 0; i < 6; ++i) {
    load.Add(MakeStatement(3, "patient", milliseconds(500 * i),
                           milliseconds(30), milliseconds(1000)));
  }
  for (const played_statement& statement : load.Play()) {
    if (statement.request.priority == 3) {
      REQUIRE(statement.started_at.has_value());
      CHECK(statement.Wait() <= statement.Budget() * 6 / 10);
    }
  }
}

TEST_CASE("open transactions end before new statements of any priority",
          "[admission]") {
  queue_load load(kSlots);
  for (int i = 0; i < 40; ++i) {
    load.Add(MakeStatement(0, "urgent", duration(i), milliseconds(10),
                           milliseconds(200)));
  }
  for (int i = 0; i < 8; ++i) {
    played_statement commit = MakeStatement(2, "patient", milliseconds(1),
                                            milliseconds(5), milliseconds(300));
    commit.request.in_transaction = true;
    load.Add(commit);
  }
  duration last_commit = duration::zero();
  for (const played_statement& statement : load.Play()) {
    if (statement.request.in_transaction) {
      REQUIRE(statement.started_at.has_value());
      last_commit = std::max(last_commit, *statement.started_at);
    }
  }
  CHECK(last_commit <= milliseconds(30));
}

TEST_CASE("an instance without a free slot gets fewer statements for a while",
          "[admission]") {
  admission_queue queue(kSlots);
  const time_point start;
  const std::uint32_t limit = queue.Limit();
  queue.RecordFull(start);
  queue.RecordFull(start + milliseconds(1));
  CHECK(queue.Limit() == limit - 1);
  queue.RecordFull(start + milliseconds(60));
  CHECK(queue.Limit() == limit - 2);
  CHECK(queue.Expire(start + milliseconds(1100)).started.empty());
  CHECK(queue.Limit() == limit - 1);
}

TEST_CASE("a forecast wait covers running, waiting and more urgent statements",
          "[admission]") {
  admission_queue queue(1);
  const time_point start;
  CHECK(queue.ExpectedWait(1, start) == duration::zero());
  admission_request request;
  request.expected_work = milliseconds(20);
  request.latest_start = start + std::chrono::seconds(1);
  for (request.id = 1; request.id <= 4; ++request.id) {
    request.priority = request.id == 4 ? 0 : 1;
    CHECK(queue.Submit(request, start).rejected.empty());
  }
  // Two are under way, and one of each priority waits.
  CHECK(queue.ExpectedWait(0, start) == milliseconds(60));
  CHECK(queue.ExpectedWait(1, start) >= milliseconds(80));
}

TEST_CASE("a statement past its latest start is never sent", "[admission]") {
  admission_queue queue(1);
  const time_point start = time_point() + std::chrono::seconds(1);
  admission_request request;
  request.id = 1;
  request.expected_work = milliseconds(20);
  request.latest_start = start - milliseconds(1);
  const admission_change change = queue.Submit(request, start);
  CHECK(change.started.empty());
  REQUIRE(change.rejected.size() == 1);
  CHECK(change.rejected.front().reason == rejection_reason::kNoRoom);
}

}  // namespace
}  // namespace sassafraswick
