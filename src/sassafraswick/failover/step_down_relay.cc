#include "sassafraswick/failover/step_down_relay.h"

#include <algorithm>

#include "sassafraswick/failover/loss_detection.h"
#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {

bool NeedsRelay(const replacement_state& state, const group_health& group,
                const replacement_action& request) {
  const instance_health* const instance = FindInstance(group, request.instance);
  const bool is_done = request.instance == state.primary &&
                       state.stepped_down_position.has_value();
  return request.kind == replacement_action_kind::kStepDown && !is_done &&
         instance != nullptr && instance->silent_since.has_value();
}

bool HasAnsweredStepDown(const replacement_state& state,
                         const std::string& instance,
                         const replacement_settings& settings, time_point now) {
  const auto response = state.step_down_responses.find(instance);
  const auto paused = state.paused.find(instance);
  return response != state.step_down_responses.end() &&
         now - response->second.at <= settings.heard_within &&
         (paused == state.paused.end() ||
          !IsBehind(response->second.received, paused->second.received));
}

std::vector<std::string> StepDownRelays(std::string_view pool,
                                        std::uint64_t attempt,
                                        const std::vector<std::string>& hosts,
                                        const std::string& self) {
  std::vector<std::string> relays = RendezvousOrder(pool, hosts);
  std::erase(relays, self);
  if (relays.size() > kStepDownRelays) {
    const std::size_t first = attempt * kStepDownRelays % relays.size();
    std::rotate(relays.begin(),
                relays.begin() + static_cast<std::ptrdiff_t>(first),
                relays.end());
    relays.resize(kStepDownRelays);
  }
  return relays;
}

}  // namespace sassafraswick
