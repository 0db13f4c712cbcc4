#include "sassafraswick/gateway/target_directory.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "platform/platform.h"

/// @file
/// Load pattern: entries of instances in a store that was restored from an
/// older copy, and entries of other writers among them.

namespace sassafraswick {
namespace {

using adapter = platform::platform_adapter;

constexpr const char* kPool = "orders";

/// A host that knows one pool.
struct test_host {
  test_host() : state(context, "zone-a", rate_limiter_environment()) {
    const std::shared_ptr<catalog> known = std::make_shared<catalog>();
    known->pools[kPool].name = kPool;
    state.InstallCatalog(known);
  }

  [[nodiscard]] std::shared_ptr<target_state<platform::line_codec>> Find(
      const std::string& id) const {
    return state.FindGroup(kPool)->Find(id);
  }

  boost::asio::io_context context;
  gateway_state<platform::line_codec> state;
  target_directory<adapter> directory{state};
};

store_item Entry(const std::string& id, const std::string& state_name,
                 int start_id, const store_revision& revision) {
  store_item item;
  item.key = std::string(adapter::kTargetsPrefix) + id;
  item.value = std::string("{\"service\":\"") + kPool +
               "\",\"address\":\"127.0.0.1:7000\",\"zone\":\"zone-a\","
               "\"slots\":3,\"db_role\":\"replica\",\"state\":\"" +
               state_name + "\",\"born\":" + std::to_string(start_id) + "}";
  item.revision = revision;
  return item;
}

/// Entry of another writer, nested deeper than any document.
store_item OddEntry(const std::string& id, const store_revision& revision) {
  constexpr std::size_t kDepth = 100'000;
  store_item item;
  item.key = std::string(adapter::kTargetsPrefix) + id;
  item.value = std::string(kDepth, '[');
  item.revision = revision;
  return item;
}

const time_point kStart(std::chrono::hours(1));
const time_point kAfterRetention = kStart + kMissingEntryRetention;

TEST_CASE("a copy of the store does not bring back an instance that left",
          "[target_directory][store_era]") {
  test_host host;
  host.directory.Load(
      {{Entry("a", "ready", 1, {1, 1}), Entry("b", "ready", 1, {1, 2})},
       {1, 2}},
      kStart);
  host.directory.Load({{Entry("a", "ready", 1, {1, 1})}, {1, 9}}, kStart);
  host.directory.RemoveMissing(kAfterRetention);
  REQUIRE_FALSE(host.Find("b")->listed);
  host.directory.Load(
      {{Entry("a", "ready", 1, {2, 1}), Entry("b", "ready", 1, {2, 2})},
       {2, 2}},
      kStart);
  CHECK_FALSE(host.Find("b")->listed);
  CHECK(host.Find("a")->listed);
  SECTION("until its entry changes") {
    host.directory.ApplyChanges({{Entry("b", "ready", 1, {2, 3})}, {2, 3}},
                                kStart);
    CHECK(host.Find("b")->listed);
  }
  SECTION("unless it started again") {
    host.directory.Load({{Entry("b", "ready", 2, {3, 2})}, {3, 2}}, kStart);
    CHECK(host.Find("b")->listed);
  }
}

TEST_CASE("an instance that is leaving stays so in a copy of the store",
          "[target_directory][store_era]") {
  test_host host;
  host.directory.Load({{Entry("a", "draining", 1, {1, 5})}, {1, 5}}, kStart);
  REQUIRE_FALSE(host.Find("a")->IsUsable());
  host.directory.Load({{Entry("a", "ready", 1, {2, 1})}, {2, 1}}, kStart);
  CHECK_FALSE(host.Find("a")->IsUsable());
  host.directory.ApplyChanges({{Entry("a", "ready", 1, {2, 2})}, {2, 2}},
                              kStart);
  CHECK(host.Find("a")->IsUsable());
}

TEST_CASE("an instance that a copy of the store lacks stays for a while",
          "[target_directory][store_era]") {
  test_host host;
  host.directory.Load({{Entry("a", "ready", 1, {1, 5})}, {1, 5}}, kStart);
  host.directory.Load({{}, {2, 1}}, kStart);
  host.directory.RemoveMissing(kStart);
  CHECK(host.Find("a")->listed);
  host.directory.RemoveMissing(kAfterRetention);
  CHECK_FALSE(host.Find("a")->listed);
}

// Reported by operators of similar systems.
TEST_CASE("an odd entry does not keep the others from being followed",
          "[target_directory]") {
  test_host host;
  host.directory.Load(
      {{Entry("a", "ready", 1, {1, 1}), OddEntry("b", {1, 2})}, {1, 2}},
      kStart);
  CHECK(host.Find("a")->IsUsable());
  CHECK(host.Find("b") == nullptr);
  host.directory.ApplyChanges(
      {{OddEntry("c", {1, 3}), Entry("a", "draining", 1, {1, 4})}, {1, 4}},
      kStart);
  CHECK_FALSE(host.Find("a")->IsUsable());
}

// The instance of an entry that had become unreadable stayed in use for good.
TEST_CASE("an instance whose entry another writer has replaced is not kept",
          "[target_directory]") {
  test_host host;
  host.directory.Load(
      {{Entry("a", "ready", 1, {1, 1}), Entry("b", "ready", 1, {1, 2})},
       {1, 2}},
      kStart);
  SECTION("in a change") {
    host.directory.ApplyChanges({{OddEntry("b", {1, 3})}, {1, 3}}, kStart);
  }
  SECTION("in a complete read") {
    host.directory.Load(
        {{Entry("a", "ready", 1, {1, 1}), OddEntry("b", {1, 3})}, {1, 3}},
        kStart);
  }
  host.directory.RemoveMissing(kStart);
  CHECK(host.Find("b")->listed);
  host.directory.RemoveMissing(kAfterRetention);
  CHECK_FALSE(host.Find("b")->listed);
  CHECK(host.Find("a")->listed);
  host.directory.ApplyChanges({{Entry("b", "ready", 1, {1, 4})}, {1, 4}},
                              kStart);
  CHECK(host.Find("b")->listed);
}

// Every complete read started the retention again.
TEST_CASE("repeated reads do not keep an instance that is missing",
          "[target_directory]") {
  test_host host;
  host.directory.Load(
      {{Entry("a", "ready", 1, {1, 1}), Entry("b", "ready", 1, {1, 2})},
       {1, 2}},
      kStart);
  host.directory.Load({{Entry("a", "ready", 1, {1, 1})}, {1, 3}}, kStart);
  host.directory.Load({{Entry("a", "ready", 1, {1, 1})}, {1, 3}},
                      kStart + std::chrono::seconds(2));
  host.directory.RemoveMissing(kAfterRetention);
  CHECK_FALSE(host.Find("b")->listed);
}

}  // namespace
}  // namespace sassafraswick
