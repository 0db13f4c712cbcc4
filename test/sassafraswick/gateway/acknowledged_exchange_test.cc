#include "sassafraswick/gateway/acknowledged_exchange.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

#include "platform/line_codec.h"

namespace sassafraswick {
namespace {

constexpr const char* kPool = "orders";

/// A host that knows one pool, and sends its messages to others directly.
struct test_host {
  test_host(const std::string& name, std::map<std::string, test_host*>& fleet)
      : state(context, "zone-a", rate_limiter_environment()),
        exchange(
            state, registry, name,
            [&fleet, name](const std::string& to,
                           const message::envelope& envelope) {
              fleet.at(to)->exchange.HandleQuestion(
                  envelope.acknowledged_question(), name);
            },
            [&fleet, this](const std::string& route,
                           const message::envelope& envelope) {
              ++answers;
              fleet.at(route)->exchange.HandleAnswer(
                  envelope.acknowledged_answer());
            }) {
    const std::shared_ptr<catalog> known = std::make_shared<catalog>();
    known->pools[kPool].name = kPool;
    known->pools[kPool].sync_replicas = 1;
    state.InstallCatalog(known);
    registry.names = {"a", "b", "c"};
    fleet[name] = this;
  }

  [[nodiscard]] target_group<platform::line_codec>& Group() const {
    return *state.FindGroup(kPool);
  }

  boost::asio::io_context context;
  gateway_state<platform::line_codec> state;
  host_registry registry;
  acknowledged_exchange<platform::line_codec> exchange;
  int answers = 0;
};

// Guards against: an instance without a commit that another host had passed on
// was ordered as the most advanced one. Seen with:
// deploy/days/cut-primary-unlisted-replica.toml.
TEST_CASE("the holder knows what other hosts have passed on",
          "[acknowledged]") {
  std::map<std::string, test_host*> fleet;
  test_host holder("a", fleet);
  test_host other("b", fleet);
  test_host idle("c", fleet);
  holder.Group().RecordPassedOn(log_point{2, 14}, 2);
  other.Group().RecordPassedOn(log_point{2, 18}, 2);
  holder.exchange.Ask(kPool);
  CHECK(holder.Group().Acknowledged() == log_point{2, 19});
  CHECK(other.answers == 1);
  CHECK(idle.answers == 0);

  // What it had passed on itself counts, too.
  holder.Group().RecordPassedOn(log_point{2, 30}, 2);
  holder.exchange.Ask(kPool);
  CHECK(holder.Group().Acknowledged() == log_point{2, 31});
  CHECK(other.Group().Acknowledged() == log_point{2, 19});
}

}  // namespace
}  // namespace sassafraswick
