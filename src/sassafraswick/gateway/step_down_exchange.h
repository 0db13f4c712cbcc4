#ifndef SASSAFRASWICK_GATEWAY_STEP_DOWN_EXCHANGE_H_
#define SASSAFRASWICK_GATEWAY_STEP_DOWN_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/step_down_relay.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// Asks other hosts to make a primary step down, and does so for the holder of
/// the failover lease.

namespace sassafraswick {

template <session_codec Codec>
class step_down_exchange {
 public:
  using sender =
      std::function<void(const std::string& host, message::envelope envelope)>;
  /// Receives the status that an instance returned to another host.
  using status_receiver =
      std::function<void(const std::string& pool, const replacement_action&,
                         const instance_status&)>;

  /// @param respond Sends a response over the connection of its request.
  step_down_exchange(gateway_state<Codec>& gateway,
                     const host_registry& registry, std::string host,
                     sender send, sender respond)
      : gateway_(gateway),
        registry_(registry),
        host_(std::move(host)),
        send_(std::move(send)),
        respond_(std::move(respond)) {}

  void OnStatus(status_receiver receiver) { receiver_ = std::move(receiver); }

  /// Asks other hosts to make an instance step down.
  void Request(const std::string& pool, const replacement_action& action) {
    for (const std::string& relay :
         StepDownRelays(pool, attempts_++, registry_.names, host_)) {
      message::envelope envelope;
      message::step_down_request& request =
          *envelope.mutable_step_down_request();
      request.set_pool(pool);
      request.set_instance(action.instance);
      request.set_term(action.term);
      request.set_lease_era(registry_.failover.fencing_token.era);
      request.set_lease_revision(registry_.failover.fencing_token.number);
      send_(relay, std::move(envelope));
    }
  }

  /// Carries out a request of the holder of the failover lease.
  /// @param route Connection on which the request arrived.
  void HandleRequest(const message::envelope& received,
                     const std::string& route) {
    const message::step_down_request& request = received.step_down_request();
    if (!IsFromHolder(received.host(), received.boot(), request)) {
      Log(log_level::kInfo, "step_down_rejected",
          {{"pool", request.pool()},
           {"from", received.host()},
           {"holder", registry_.failover.holder}});
      return;
    }
    Spawn(gateway_.context, "step_down",
          [this, route, host = received.host(), boot = received.boot(),
           request] { return StepDown(route, host, boot, request); });
  }

  void HandleAnswer(const message::step_down_answer& answer) {
    if (!receiver_) {
      return;
    }
    const replacement_action action{replacement_action_kind::kStepDown,
                                    answer.instance(), answer.requested_term()};
    instance_status status;
    status.term = answer.term();
    status.is_primary = answer.is_primary();
    status.received = {answer.position_term(), answer.position()};
    status.paused_term = answer.paused_term();
    receiver_(answer.pool(), action, status);
  }

 private:
  /// Returns whether a request was sent in the name of the failover lease that
  /// this host knows.
  [[nodiscard]] bool IsFromHolder(
      const std::string& host, std::uint64_t boot,
      const message::step_down_request& request) const {
    const store_revision claim{request.lease_era(), request.lease_revision()};
    return registry_.failover.holder == host + "/" + std::to_string(boot) &&
           registry_.failover.fencing_token == claim;
  }

  boost::asio::awaitable<void> StepDown(std::string route, std::string host,
                                        std::uint64_t boot,
                                        message::step_down_request request) {
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(request.pool());
    const std::shared_ptr<target_state<Codec>> target =
        group == nullptr ? nullptr : group->Find(request.instance());
    if (target == nullptr) {
      co_return;
    }
    const std::function<bool()> may_send = [this, &host, boot, &request] {
      return IsFromHolder(host, boot, request);
    };
    const std::optional<instance_status> status = co_await group->SendControl(
        target, control_statement::kStepDown, request.term(), may_send);
    Log(log_level::kInfo, "step_down_relayed",
        {{"pool", request.pool()},
         {"target", request.instance()},
         {"term", std::to_string(request.term())},
         {"from", host},
         {"outcome", status.has_value() ? "answered" : "no answer"}});
    if (!status.has_value()) {
      co_return;
    }
    message::envelope envelope;
    message::step_down_answer& answer = *envelope.mutable_step_down_answer();
    answer.set_pool(request.pool());
    answer.set_instance(request.instance());
    answer.set_requested_term(request.term());
    answer.set_term(status->term);
    answer.set_is_primary(status->is_primary);
    answer.set_position_term(status->received.term);
    answer.set_position(status->received.position);
    answer.set_paused_term(status->paused_term);
    respond_(route, std::move(envelope));
  }

  gateway_state<Codec>& gateway_;
  const host_registry& registry_;
  std::string host_;
  sender send_;
  sender respond_;
  status_receiver receiver_;
  std::uint64_t attempts_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STEP_DOWN_EXCHANGE_H_
