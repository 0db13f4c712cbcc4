#include "sassafraswick/net/spawn.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace sassafraswick {
namespace {

TEST_CASE("an exception ends a task but not the process", "[spawn]") {
  boost::asio::io_context context;
  bool other_ran = false;
  Spawn(context, "fails", []() -> boost::asio::awaitable<void> {
    throw std::runtime_error("unexpected");
    co_return;
  });
  Spawn(context, "runs", [&other_ran]() -> boost::asio::awaitable<void> {
    other_ran = true;
    co_return;
  });
  CHECK_NOTHROW(context.run());
  CHECK(other_ran);
}

// Guards against tasks that ended silently after an exception, which left a
// host that no longer renewed its lease or received messages from peers.
TEST_CASE("an essential task is restarted after an exception", "[spawn]") {
  boost::asio::io_context context;
  int runs = 0;
  SpawnWithRestart(context, "fails twice",
                   [&runs]() -> boost::asio::awaitable<void> {
                     ++runs;
                     if (runs < 3) {
                       throw std::runtime_error("unexpected");
                     }
                     co_return;
                   });
  context.run();
  CHECK(runs == 3);
}

}  // namespace
}  // namespace sassafraswick
