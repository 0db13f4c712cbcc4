#include "test/support/process.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <set>

namespace test_support {
namespace {

/// Accepts a connection on a port and closes it from the listening side, which
/// leaves the port in TIME_WAIT.
void LeaveInTimeWait(std::uint16_t port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0);
  REQUIRE(listen(listener, 1) == 0);
  const int client = ConnectTo(port);
  REQUIRE(client >= 0);
  const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  REQUIRE(accepted >= 0);
  shutdown(accepted, SHUT_WR);
  close(accepted);
  char byte = 0;
  CHECK(read(client, &byte, 1) == 0);
  close(client);
  close(listener);
}

TEST_CASE("ports of ended connections are handed out once each again",
          "[support]") {
  constexpr int kPortsOfAllFleets = 90;
  constexpr std::size_t kPortsPerFleet = 27;
  for (int i = 0; i < kPortsOfAllFleets; ++i) {
    LeaveInTimeWait(FreePort());
  }
  std::set<std::uint16_t> fleet;
  while (fleet.size() < kPortsPerFleet) {
    const bool is_new = fleet.insert(FreePort()).second;
    REQUIRE(is_new);
  }
}

}  // namespace
}  // namespace test_support
