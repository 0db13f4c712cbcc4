#ifndef SASSAFRASWICK_GATEWAY_ACKNOWLEDGED_EXCHANGE_H_
#define SASSAFRASWICK_GATEWAY_ACKNOWLEDGED_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sassafraswick/failover/step_down_relay.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// Tells the holder of the failover lease up to where other hosts have passed
/// on acknowledgements, while it replaces a primary.

namespace sassafraswick {

template <session_codec Codec>
class acknowledged_exchange {
 public:
  using sender =
      std::function<void(const std::string& host, message::envelope envelope)>;

  /// @param respond Sends a response over the connection of its request.
  acknowledged_exchange(gateway_state<Codec>& gateway,
                        const host_registry& registry, std::string host,
                        sender send, sender respond)
      : gateway_(gateway),
        registry_(registry),
        host_(std::move(host)),
        send_(std::move(send)),
        respond_(std::move(respond)) {}

  /// Asks as many hosts as are asked to make an instance step down.
  void Ask(const std::string& pool) {
    for (const std::string& host :
         StepDownRelays(pool, attempts_++, registry_.names, host_)) {
      message::envelope envelope;
      envelope.mutable_acknowledged_question()->set_pool(pool);
      send_(host, std::move(envelope));
    }
  }

  /// @param route Connection on which the question arrived.
  void HandleQuestion(const message::acknowledged_question& question,
                      const std::string& route) {
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(question.pool());
    if (group == nullptr || group->Acknowledged() == log_point()) {
      return;
    }
    message::envelope envelope;
    message::acknowledged_answer& answer =
        *envelope.mutable_acknowledged_answer();
    answer.set_pool(question.pool());
    answer.set_position_term(group->Acknowledged().term);
    answer.set_position(group->Acknowledged().position);
    respond_(route, std::move(envelope));
  }

  void HandleAnswer(const message::acknowledged_answer& answer) {
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(answer.pool());
    if (group != nullptr) {
      group->LearnAcknowledged({answer.position_term(), answer.position()});
    }
  }

 private:
  gateway_state<Codec>& gateway_;
  const host_registry& registry_;
  std::string host_;
  sender send_;
  sender respond_;
  std::uint64_t attempts_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_ACKNOWLEDGED_EXCHANGE_H_
