#include "test/platform/standin_group.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "test/support/process.h"

namespace test_platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout(5000);

/// A group whose replicas receive nothing, and writes at its primary, each over
/// a connection of its own.
class waiting_writes {
 public:
  waiting_writes() : group_("orders-db", 3, milliseconds(0)) {
    SetReceiving(1, false);
    SetReceiving(2, false);
  }
  waiting_writes(const waiting_writes&) = delete;
  waiting_writes& operator=(const waiting_writes&) = delete;
  ~waiting_writes() { group_.Stop(); }

  void SetReceiving(std::size_t index, bool receives) {
    group_.Modify(index, [receives](group_instance& each) {
      each.not_receiving = !receives;
    });
  }

  /// Sends a write, and returns once its commit waits or has ended.
  void Send(const std::string& data) {
    responses_.push_back(std::async(std::launch::async, [this, data] {
      line_connection connection;
      static_cast<void>(group_.HandleLine(
          0, connection, "START orders-db gallery orders-db-0"));
      return group_.HandleLine(0, connection, "QUERY q WRITE item " + data);
    }));
    // The statement is counted under the lock that its commit gives up only to
    // wait.
    REQUIRE(test_support::WaitFor(kTimeout, [this] {
      std::uint64_t statements = 0;
      group_.Modify(0, [&statements](group_instance& each) {
        statements = each.statements;
      });
      return statements == responses_.size();
    }));
  }

  /// Returns the response to a write; empty if there is none in time.
  std::string Response(std::size_t number) {
    std::future<std::string>& response = responses_.at(number);
    return response.wait_for(kTimeout) == std::future_status::ready
               ? response.get()
               : "";
  }

  standin_group& Group() { return group_; }

 private:
  standin_group group_;
  std::vector<std::future<std::string>> responses_;
};

}  // namespace

// An acknowledged write was followed in the log by an older one of the same
// caller, whose outcome was in doubt. Seen with: gateway_soak, seed 348.
TEST_CASE("commits that waited for a replica take effect in their order",
          "[standin_group]") {
  constexpr std::size_t kWrites = 24;
  waiting_writes writes;
  for (std::size_t i = 0; i < kWrites; ++i) {
    writes.Send(std::to_string(i));
  }
  writes.SetReceiving(1, true);
  for (std::size_t i = 0; i < kWrites; ++i) {
    CHECK(writes.Response(i).starts_with("COMPLETE"));
  }
  std::vector<std::string> found;
  for (const log_entry& entry : writes.Group().Log(1)) {
    found.push_back(entry.data);
  }
  std::vector<std::string> expected;
  for (std::size_t i = 0; i < kWrites; ++i) {
    expected.push_back(std::to_string(i));
  }
  CHECK(found == expected);
}

TEST_CASE("a commit that waited while its primary's term ended holds up none",
          "[standin_group]") {
  waiting_writes writes;
  writes.Send("old");
  for (std::size_t i = 0; i < writes.Group().Size(); ++i) {
    writes.Group().Modify(i, [](group_instance& each) { each.term = 2; });
  }
  writes.Send("new");
  writes.SetReceiving(1, true);
  CHECK(writes.Response(0).starts_with("ERROR ABORTED"));
  CHECK(writes.Response(1).starts_with("COMPLETE"));
  CHECK(writes.Group().LastValue(0, "item") == "new");
  CHECK(writes.Group().Log(0).size() == 1);
}

TEST_CASE("an old primary lacks positions of the term after its own",
          "[standin_group]") {
  standin_group group("orders-db", 3, milliseconds(0));
  std::vector<line_connection> connections(group.Size());
  const auto run = [&group, &connections](std::size_t index,
                                          const std::string& text) {
    return group.HandleLine(index, connections.at(index), "QUERY q " + text);
  };
  for (std::size_t i = 0; i < group.Size(); ++i) {
    static_cast<void>(group.HandleLine(
        i, connections.at(i),
        "START orders-db gallery orders-db-" + std::to_string(i)));
  }
  group.Modify(1, [](group_instance& each) { each.not_receiving = true; });
  REQUIRE(run(0, "WRITE other oak").starts_with("COMPLETE"));
  REQUIRE(run(0, "WRITE other elm").starts_with("COMPLETE"));
  REQUIRE(group.Promote("orders-db-1"));
  REQUIRE(run(1, "WRITE item ash").ends_with("READY I 2.1\r\n"));
  CHECK(run(0, "READ other").starts_with("ROW elm"));
  CHECK(run(0, "AFTER 2.1 READ item").starts_with("ERROR LAGGING"));
  CHECK(run(2, "AFTER 2.1 READ item").starts_with("ROW ash"));
  CHECK(run(2, "AFTER 1.1 READ item").starts_with("ROW ash"));
}

}  // namespace test_platform
