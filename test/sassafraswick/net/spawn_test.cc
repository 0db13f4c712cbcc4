#include "sassafraswick/net/spawn.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace sassafraswick {
namespace {

TEST_CASE("an unexpected error ends a task, not the process", "[spawn]") {
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

// Before, a loop that met an unexpected error was over for good, and nothing
// said so: a host that no longer renewed its lease, or heard no peers.
TEST_CASE("a loop goes on after an unexpected error", "[spawn]") {
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
