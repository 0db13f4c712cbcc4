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

/// Hosts whose membership messages are delivered immediately.
class simulated_fleet {
 public:
  explicit simulated_fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      listed_.push_back(Self(i, 1));
    }
    for (std::size_t i = 0; i < count; ++i) {
      Start(i, 1);
    }
  }

  void Start(std::size_t index, std::uint64_t boot) {
    tables_[Name(index)] = MakeMembership(Self(index, boot));
    MergeHostList(tables_[Name(index)], kSettings, listed_, At(now_));
    stopped_.erase(Name(index));
  }

  void Stop(std::size_t index) { stopped_.insert(Name(index)); }

  void Run(int milliseconds) {
    for (const int end = now_ + milliseconds; now_ < end; now_ += 20) {
      for (std::pair<const std::string, membership>& entry : tables_) {
        if (!stopped_.contains(entry.first)) {
          Send(entry.first,
               AdvanceMembership(entry.second, kSettings, At(now_), random_()));
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

  /// Returns whether messages from one host to another are dropped.
  std::function<bool(const std::string&, const std::string&)> is_dropped =
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
      if (stopped_.contains(each.to) || is_dropped(from, each.to)) {
        continue;
      }
      membership& table = tables_.at(each.to);
      MergeUpdates(table, kSettings, each.news, At(now_));
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

TEST_CASE("every host detects a stopped host and its restart", "[membership]") {
  simulated_fleet fleet(8);
  fleet.Run(2000);
  CHECK(LiveHosts(fleet.Table(0)).size() == 8);
  fleet.Stop(3);
  fleet.Run(15'000);
  for (const std::size_t i : {0U, 1U, 7U}) {
    CHECK(LiveHosts(fleet.Table(i)).size() == 7);
  }
  fleet.Start(3, 2);
  fleet.Run(15'000);
  CHECK(LiveHosts(fleet.Table(0)).size() == 8);
  CHECK(fleet.Table(7).members.at("h3").boot == 2);
}

TEST_CASE("a host stays alive when only one other host cannot reach it",
          "[membership]") {
  simulated_fleet fleet(8);
  fleet.is_dropped = [](const std::string& from, const std::string& to) {
    return (from == "h0" && to == "h1") || (from == "h1" && to == "h0");
  };
  fleet.Run(20'000);
  CHECK(LiveHosts(fleet.Table(0)).size() == 8);
  CHECK(LiveHosts(fleet.Table(5)).size() == 8);
}

TEST_CASE("only the larger side of a partition sees a majority until it heals",
          "[membership]") {
  simulated_fleet fleet(8);
  fleet.Run(2000);
  fleet.is_dropped = [](const std::string& from, const std::string& to) {
    return (from < "h3") != (to < "h3");
  };
  fleet.Run(20'000);
  CHECK_FALSE(SeesMajority(fleet.Table(0)));
  CHECK(SeesMajority(fleet.Table(5)));
  fleet.is_dropped = [](const std::string&, const std::string&) {
    return false;
  };
  fleet.Run(30'000);
  CHECK(SeesMajority(fleet.Table(0)));
  CHECK(LiveHosts(fleet.Table(7)).size() == 8);
}

TEST_CASE("hosts that all restart at once learn of each other",
          "[membership]") {
  simulated_fleet fleet(6);
  fleet.Run(3000);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i, 2);
  }
  fleet.Run(10'000);
  for (std::size_t i = 0; i < 6; ++i) {
    CHECK(LiveHosts(fleet.Table(i)).size() == 6);
    CHECK(fleet.Table(0).members.at(simulated_fleet::Name(i)).boot == 2);
  }
}

TEST_CASE("messages per host and interval do not grow with the fleet",
          "[membership]") {
  for (const std::size_t count : {8U, 64U}) {
    membership table = simulated_fleet(count).Table(0);
    std::size_t sent = 0;
    for (int now = 0; now < 4000; now += 20) {
      sent += AdvanceMembership(table, kSettings, At(100'000 + now), 7).size();
    }
    CHECK(sent <= std::size_t{10} * (1 + kSettings.indirect_probes));
  }
}

}  // namespace
}  // namespace sassafraswick
