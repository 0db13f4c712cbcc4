#include "sassafraswick/peer/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <set>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

const membership_settings kSettings;

/// Hosts that exchange membership messages without delay.
class member_world {
 public:
  explicit member_world(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      listed_.push_back(Self(i, 1));
    }
    for (std::size_t i = 0; i < count; ++i) {
      Start(i, 1);
    }
  }

  void Start(std::size_t index, std::uint64_t boot) {
    tables_[Name(index)] = MakeMembership(Self(index, boot));
    MergeList(tables_[Name(index)], kSettings, listed_, At(now_));
    stopped_.erase(Name(index));
  }

  void Stop(std::size_t index) { stopped_.insert(Name(index)); }

  void Run(int milliseconds) {
    for (const int end = now_ + milliseconds; now_ < end; now_ += 20) {
      for (std::pair<const std::string, membership>& entry : tables_) {
        if (!stopped_.contains(entry.first)) {
          Send(entry.first,
               TickMembership(entry.second, kSettings, At(now_), random_()));
        }
      }
    }
  }

  [[nodiscard]] membership& Table(std::size_t index) {
    return tables_.at(Name(index));
  }

  [[nodiscard]] static std::string Name(std::size_t index) {
    return "h" + std::to_string(index);
  }

  /// Tells whether messages between two hosts are cut.
  std::function<bool(const std::string&, const std::string&)> is_cut =
      [](const std::string&, const std::string&) { return false; };

 private:
  static member Self(std::size_t index, std::uint64_t boot) {
    member self;
    self.host = Name(index);
    self.boot = boot;
    return self;
  }

  void Send(const std::string& from,
            const std::vector<membership_message>& messages) {
    for (const membership_message& each : messages) {
      if (stopped_.contains(each.to) || is_cut(from, each.to)) {
        continue;
      }
      membership& table = tables_.at(each.to);
      MergeNews(table, kSettings, each.news, At(now_));
      if (each.kind == membership_message_kind::kPing) {
        Send(each.to, HandlePing(table, kSettings, from, each.probe,
                                 each.target, At(now_)));
      } else {
        Send(each.to,
             HandleAnswer(table, kSettings, from, each.probe, At(now_)));
      }
    }
  }

  std::map<std::string, membership> tables_;
  std::vector<member> listed_;
  std::set<std::string> stopped_;
  std::mt19937_64 random_{5};
  int now_ = 0;
};

TEST_CASE("a dead host is noticed by all and one that returns too",
          "[membership]") {
  member_world world(8);
  world.Run(2000);
  CHECK(LiveHosts(world.Table(0)).size() == 8);
  world.Stop(3);
  world.Run(15'000);
  for (const std::size_t i : {0U, 1U, 7U}) {
    CHECK(LiveHosts(world.Table(i)).size() == 7);
  }
  world.Start(3, 2);
  world.Run(15'000);
  CHECK(LiveHosts(world.Table(0)).size() == 8);
  CHECK(world.Table(7).members.at("h3").boot == 2);
}

TEST_CASE("a host that one other cannot reach stays alive", "[membership]") {
  member_world world(8);
  world.is_cut = [](const std::string& from, const std::string& to) {
    return (from == "h0" && to == "h1") || (from == "h1" && to == "h0");
  };
  world.Run(20'000);
  CHECK(LiveHosts(world.Table(0)).size() == 8);
  CHECK(LiveHosts(world.Table(5)).size() == 8);
}

TEST_CASE("only the larger side of a partition sees a majority",
          "[membership]") {
  member_world world(8);
  world.Run(2000);
  world.is_cut = [](const std::string& from, const std::string& to) {
    return (from < "h3") != (to < "h3");
  };
  world.Run(20'000);
  CHECK_FALSE(SeesMajority(world.Table(0)));
  CHECK(SeesMajority(world.Table(5)));
  world.is_cut = [](const std::string&, const std::string&) { return false; };
  world.Run(30'000);
  CHECK(SeesMajority(world.Table(0)));
  CHECK(LiveHosts(world.Table(7)).size() == 8);
}

TEST_CASE("a fleet replaced all at once finds itself", "[membership]") {
  member_world world(6);
  world.Run(3000);
  for (std::size_t i = 0; i < 6; ++i) {
    world.Start(i, 2);
  }
  world.Run(10'000);
  for (std::size_t i = 0; i < 6; ++i) {
    CHECK(LiveHosts(world.Table(i)).size() == 6);
    CHECK(world.Table(0).members.at(member_world::Name(i)).boot == 2);
  }
}

TEST_CASE("messages a host and period do not grow with the fleet",
          "[membership]") {
  for (const std::size_t count : {8U, 64U}) {
    membership table = member_world(count).Table(0);
    std::size_t sent = 0;
    for (int now = 0; now < 4000; now += 20) {
      sent += TickMembership(table, kSettings, At(100'000 + now), 7).size();
    }
    CHECK(sent <= std::size_t{10} * (1 + kSettings.helpers));
  }
}

}  // namespace
}  // namespace sassafraswick
