#include "sassafraswick/failover/step_down_relay.h"

#include <algorithm>

#include "sassafraswick/failover/loss_detection.h"
#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {

bool NeedsRelay(const replacement_state& state, const group_health& group,
                const replacement_action& request) {
  const instance_health* const primary = FindInstance(group, state.primary);
  return request.kind == replacement_action_kind::kStepDown &&
         request.instance == state.primary &&
         !state.stepped_down_position.has_value() && primary != nullptr &&
         primary->silent_since.has_value();
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
