#include "sassafraswick/limits/grantor_shard.h"

#include <xxhash.h>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

bool HasNoLiveHolder(const grantor_shard& shard, const membership& fleet) {
  if (shard.host.empty()) {
    return true;
  }
  const auto holder = fleet.members.find(shard.host);
  if (holder == fleet.members.end()) {
    return true;
  }
  const bool restarted =
      holder->second.boot != 0 && holder->second.boot != shard.boot;
  return restarted || holder->second.state == member_state::kDead ||
         holder->second.state == member_state::kLeaving;
}

}  // namespace

std::uint32_t GrantorShardOf(std::string_view name) {
  return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) %
                                    kGrantorShardCount);
}

bool UpdateGrantor(grantor_shard& shard, grantor_epoch epoch,
                   const std::string& host, std::uint64_t boot) {
  if (epoch <= shard.epoch) {
    return false;
  }
  shard.epoch = epoch;
  shard.host = host;
  shard.boot = boot;
  return true;
}

std::vector<std::string> GrantorOrder(std::uint32_t index,
                                      const membership& fleet) {
  return RendezvousOrder(std::string(kGrantorPrefix) + std::to_string(index),
                         LiveHosts(fleet));
}

bool ShouldClaim(const grantor_shard& shard, std::uint32_t index,
                 const membership& fleet) {
  if (!HasNoLiveHolder(shard, fleet) || !SeesMajority(fleet)) {
    return false;
  }
  const std::vector<std::string> order = GrantorOrder(index, fleet);
  return !order.empty() && order.front() == fleet.self;
}

bool MayGrant(const grantor_shard& shard, const membership& fleet,
              const grantor_settings& settings, bool store_down,
              time_point now) {
  const member& self = fleet.members.at(fleet.self);
  const bool holds = shard.host == fleet.self && shard.boot == self.boot &&
                     now >= shard.active_from;
  const bool confirmed =
      now - shard.confirmed_at < settings.confirmation_validity;
  return holds && self.state == member_state::kAlive &&
         (confirmed || store_down) && SeesMajority(fleet);
}

}  // namespace sassafraswick
