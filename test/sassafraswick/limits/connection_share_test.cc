#include "sassafraswick/limits/connection_share.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

// mdb-pedidos trouble-1: all hosts lost power, their 21 connections went on to
// count for 3 s, and for 2 s nothing could be served.
TEST_CASE("connections at rest leave room for as many again",
          "[connection_share]") {
  for (const std::uint32_t hosts : {1U, 2U, 7U, 8U, 10U}) {
    for (const std::uint32_t connections : {21U, 32U}) {
      const connection_share share = ShareConnections(connections, hosts);
      CHECK(share.kept * hosts * 2 <= connections);
      CHECK(share.most >= share.kept);
    }
  }
}

TEST_CASE("every host may open one connection, however many share",
          "[connection_share]") {
  CHECK(ShareConnections(20, 90).kept == 1);
  CHECK(ShareConnections(1, 90).most == 1);
}

}  // namespace
}  // namespace sassafraswick
