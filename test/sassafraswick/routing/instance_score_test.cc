#include "sassafraswick/routing/instance_score.h"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "sassafraswick/routing/choose_target.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kInstances = 3;
constexpr statement_class kRead{};
constexpr duration kWork = std::chrono::milliseconds(15);
/// Time of a statement at an instance that is overloaded.
constexpr duration kQueuedWork = std::chrono::milliseconds(400);
constexpr duration kFailureCost = std::chrono::milliseconds(250);

/// What becomes of a statement at an instance; nothing if it fails.
using behaviour =
    std::function<std::optional<duration>(std::size_t instance, duration at)>;

/// Statements of one host at a group of equal instances, whose times grow with
/// their part of the load.
class host_model {
 public:
  explicit host_model(behaviour statement) : statement_(std::move(statement)) {}

  /// Sends statements at a fixed interval, and returns how many each instance
  /// received.
  std::array<int, kInstances> Run(int statements, duration interval) {
    std::array<int, kInstances> received{};
    for (int i = 0; i < statements; ++i) {
      elapsed_ += interval;
      const std::size_t chosen = Choose();
      ++received.at(chosen);
      const std::optional<duration> work = statement_(chosen, elapsed_);
      if (work.has_value()) {
        const duration took = std::chrono::duration_cast<duration>(
            *work * (0.5 + 1.5 * AddLoad(chosen)));
        scores_.at(chosen).RecordServed(work_.Record(kRead, took), Now());
      } else {
        RecordFailure(chosen);
      }
    }
    UNSCOPED_INFO(received[0] << " " << received[1] << " " << received[2]);
    return received;
  }

  [[nodiscard]] int Ejections() const { return ejections_; }

 private:
  [[nodiscard]] time_point Now() const {
    return time_point(std::chrono::hours(1)) + elapsed_;
  }

  /// Returns an instance's part of the recent load.
  double AddLoad(std::size_t chosen) {
    constexpr double kSmoothing = 0.1;
    for (double& part : load_) {
      part *= 1.0 - kSmoothing;
    }
    load_.at(chosen) += kSmoothing;
    return load_.at(chosen);
  }

  std::size_t Choose() {
    std::vector<target_option> options;
    for (const instance_score& score : scores_) {
      target_option option;
      option.has_connection = true;
      option.latency = std::chrono::duration_cast<duration>(
          work_.Mean(kRead) * score.Slowness(Now()));
      option.failure_rate = score.FailureRate(Now());
      option.failure_cost = kFailureCost;
      option.avoid = !score.Admits(Now(), random_());
      options.push_back(option);
    }
    return *ChooseTarget(options, random_());
  }

  void RecordFailure(std::size_t chosen) {
    scores_.at(chosen).RecordFailure(Now());
    std::vector<const instance_score*> others;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (i != chosen) {
        others.push_back(&scores_.at(i));
      }
    }
    ejections_ += EjectIfOutlier(scores_.at(chosen), others, Now()) ? 1 : 0;
  }

  behaviour statement_;
  std::array<instance_score, kInstances> scores_;
  std::array<double, kInstances> load_{};
  work_estimates work_;
  duration elapsed_ = duration::zero();
  std::mt19937_64 random_{7};
  int ejections_ = 0;
};

constexpr duration kInterval = std::chrono::milliseconds(25);
constexpr int kStatements = 800;

// Load srv_slow.
TEST_CASE("an instance that is five times slower gets few statements",
          "[instance_score]") {
  host_model host([](std::size_t instance, duration at) {
    const bool slow = instance == 1 && at < std::chrono::seconds(20);
    return slow ? kWork * 5 : kWork;
  });
  CHECK(host.Run(kStatements, kInterval).at(1) < kStatements / 20);
  CHECK(host.Ejections() == 0);
  // Once it is as fast as the others, it gets its part again.
  host.Run(kStatements, kInterval);
  CHECK(host.Run(kStatements, kInterval).at(1) > kStatements / 6);
}

// Load srv_grey.
TEST_CASE("an instance that fails some statements is spared",
          "[instance_score]") {
  std::mt19937_64 random(11);
  host_model host([&random](std::size_t instance, duration) {
    const bool fails = instance == 2 && random() % 100 < 14;
    return fails ? std::nullopt : std::optional(kWork);
  });
  CHECK(host.Run(kStatements, kInterval).at(2) < kStatements / 6);
}

TEST_CASE("an instance that serves some statements late is spared",
          "[instance_score]") {
  std::mt19937_64 random(13);
  host_model host([&random](std::size_t instance, duration) {
    const bool late = instance == 2 && random() % 100 < 14;
    return late ? kWork * 15 / 2 : kWork;
  });
  CHECK(host.Run(kStatements, kInterval).at(2) < kStatements / 4);
  CHECK(host.Ejections() == 0);
}

// Load srv_flap.
TEST_CASE("an instance that goes down and up is ejected for longer each time",
          "[instance_score]") {
  int failed = 0;
  host_model host([&failed](std::size_t instance, duration at) {
    constexpr duration kTurn = std::chrono::milliseconds(1400);
    const bool down = instance == 0 && at / kTurn % 2 == 0;
    failed += down ? 1 : 0;
    return down ? std::nullopt : std::optional(kQueuedWork);
  });
  host.Run(kStatements, kInterval);
  CHECK(host.Ejections() >= 1);
  CHECK(failed < kStatements / 40);
}

// Load srv_lying_health: only statements count.
TEST_CASE("an instance that fails everything is probed with few statements",
          "[instance_score]") {
  host_model host([](std::size_t instance, duration) {
    return instance == 1 ? std::nullopt : std::optional(kQueuedWork);
  });
  CHECK(host.Run(kStatements, kInterval).at(1) < kStatements / 40);
  CHECK(host.Ejections() >= 1);
}

// Load answer_lost.
TEST_CASE("an answer that is lost now and then ejects no instance",
          "[instance_score]") {
  std::mt19937_64 random(17);
  host_model host([&random](std::size_t, duration) {
    return random() % 100 < 3 ? std::nullopt : std::optional(kWork);
  });
  const std::array<int, kInstances> received = host.Run(kStatements, kInterval);
  CHECK(host.Ejections() == 0);
  for (const int each : received) {
    CHECK(each > kStatements / 8);
  }
}

TEST_CASE("at most half of a group is ejected at once", "[instance_score]") {
  const time_point now = time_point(std::chrono::hours(1));
  std::array<instance_score, kInstances> scores;
  const auto eject = [&scores, now](std::size_t at) {
    std::vector<const instance_score*> others;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (i != at) {
        others.push_back(&scores.at(i));
      }
    }
    for (int i = 0; i < 10; ++i) {
      scores.at(at).RecordFailure(now);
    }
    return EjectIfOutlier(scores.at(at), others, now);
  };
  scores[1].RecordServed(1.0, now);
  CHECK(eject(0));
  CHECK(scores[0].IsEjected(now));
  CHECK_FALSE(eject(1));
  instance_score alone;
  alone.RecordFailure(now);
  CHECK_FALSE(EjectIfOutlier(alone, {}, now));
}

TEST_CASE("a single failure is no verdict", "[instance_score]") {
  const time_point now = time_point(std::chrono::hours(1));
  instance_score score;
  const instance_score other;
  score.RecordFailure(now);
  CHECK_FALSE(EjectIfOutlier(score, {&other, &other}, now));
  CHECK(score.FailureRate(now) < 0.25);
  CHECK(score.FailureRate(now + std::chrono::seconds(30)) < 0.01);
}

TEST_CASE("reserved slots are estimated for the whole fleet",
          "[instance_score]") {
  const time_point now = time_point(std::chrono::hours(1));
  slot_usage usage;
  CHECK(usage.Fraction(4, 100, now) == 0.0);
  usage.Record(std::chrono::milliseconds(8), now);
  CHECK(usage.Fraction(4, 100, now) == Approx(0.1));
  CHECK(usage.Fraction(4, 100, now + std::chrono::seconds(10)) < 0.01);
}

}  // namespace
}  // namespace sassafraswick
