#include "sassafraswick/peer/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace sassafraswick {
namespace {

/// One probe in this many goes to a host that is believed dead, so that the two
/// sides of a healed partition rediscover each other.
constexpr std::uint64_t kProbesPerDeadProbe = 4;
constexpr duration kRelayedProbeTimeout = std::chrono::seconds(5);
/// Time after which a dead host that the platform does not list is removed.
constexpr duration kDeadMemberRetention = std::chrono::minutes(1);

/// Returns how many times an update is to be sent, which grows with the
/// logarithm of the fleet's size.
std::uint32_t RetransmitCount(const membership& table,
                              const membership_settings& settings) {
  const std::uint32_t logarithm =
      static_cast<std::uint32_t>(std::bit_width(table.members.size()));
  return settings.retransmit_multiplier * logarithm;
}

void SetState(const membership& table, const membership_settings& settings,
              member& entry, member_state state, time_point now) {
  if (entry.state != state) {
    entry.state = state;
    entry.since = now;
    entry.retransmits_left = RetransmitCount(table, settings);
  }
}

/// Selects the updates for one message: this host's own entry first, then those
/// with the most retransmissions left.
std::vector<member> TakeUpdates(membership& table,
                                const membership_settings& settings) {
  std::vector<member*> pending;
  for (std::pair<const std::string, member>& entry : table.members) {
    if (entry.second.retransmits_left > 0) {
      pending.push_back(&entry.second);
    }
  }
  std::sort(pending.begin(), pending.end(),
            [](const member* left, const member* right) {
              return left->retransmits_left > right->retransmits_left;
            });
  std::vector<member> updates{table.members.at(table.self)};
  for (member* const entry : pending) {
    if (updates.size() > settings.updates_per_message) {
      break;
    }
    if (entry->host != table.self) {
      --entry->retransmits_left;
      updates.push_back(*entry);
    }
  }
  return updates;
}

/// Lists the other hosts that are believed dead, or those that are not.
std::vector<std::string> ProbeTargets(const membership& table, bool dead) {
  std::vector<std::string> names;
  for (const std::pair<const std::string, member>& entry : table.members) {
    const bool is_dead = entry.second.state == member_state::kDead;
    if (entry.first != table.self && is_dead == dead) {
      names.push_back(entry.first);
    }
  }
  return names;
}

/// Probes a random host, if any other host is known.
std::vector<membership_message> StartProbe(membership& table,
                                           const membership_settings& settings,
                                           time_point now,
                                           std::uint64_t random) {
  table.next_probe_at = now + settings.probe_interval;
  std::vector<std::string> targets =
      ProbeTargets(table, random % kProbesPerDeadProbe == 0);
  if (targets.empty()) {
    targets = ProbeTargets(table, random % kProbesPerDeadProbe != 0);
  }
  if (targets.empty()) {
    return {};
  }
  const std::string& chosen =
      targets[random / kProbesPerDeadProbe % targets.size()];
  table.current_probe = probe{table.next_probe_id++, chosen, now, false};
  return {{membership_message_kind::kPing, chosen, table.current_probe->id, "",
           TakeUpdates(table, settings)}};
}

/// Asks other hosts to probe the host that did not answer directly.
std::vector<membership_message> StartIndirectProbes(
    membership& table, const membership_settings& settings,
    std::uint64_t random) {
  table.current_probe->indirect_sent = true;
  std::vector<std::string> relays = ProbeTargets(table, false);
  std::erase(relays, table.current_probe->host);
  std::vector<membership_message> messages;
  for (std::uint32_t i = 0; i < settings.indirect_probes && i < relays.size();
       ++i) {
    const std::size_t index = (random + i) % relays.size();
    messages.push_back({membership_message_kind::kPing, relays[index],
                        table.current_probe->id, table.current_probe->host,
                        TakeUpdates(table, settings)});
  }
  return messages;
}

void FailProbe(membership& table, const membership_settings& settings,
               time_point now) {
  const auto found = table.members.find(table.current_probe->host);
  if (found != table.members.end() &&
      found->second.state == member_state::kAlive) {
    SetState(table, settings, found->second, member_state::kSuspected, now);
  }
  table.current_probe.reset();
}

/// Declares suspected hosts dead, and removes dead hosts and relayed probes
/// that have expired.
void ProcessTimeouts(membership& table, const membership_settings& settings,
                     time_point now) {
  for (std::pair<const std::string, member>& entry : table.members) {
    if (entry.second.state == member_state::kSuspected &&
        now - entry.second.since >= settings.suspicion_timeout) {
      SetState(table, settings, entry.second, member_state::kDead, now);
    }
  }
  std::erase_if(table.members,
                [now](const std::pair<const std::string, member>& entry) {
                  return entry.second.state == member_state::kDead &&
                         !entry.second.listed &&
                         now - entry.second.since > kDeadMemberRetention;
                });
  std::erase_if(
      table.relayed_probes,
      [now](const std::pair<const std::uint64_t, relayed_probe>& entry) {
        return now - entry.second.sent_at > kRelayedProbeTimeout;
      });
}

/// Raises this host's incarnation if the update says that it is suspected or
/// dead.
void Refute(membership& table, const membership_settings& settings,
            const member& update) {
  member& own = table.members.at(table.self);
  const bool is_suspected = update.boot == own.boot &&
                            update.incarnation >= own.incarnation &&
                            (update.state == member_state::kSuspected ||
                             update.state == member_state::kDead);
  if (is_suspected) {
    own.incarnation = update.incarnation + 1;
    own.retransmits_left = RetransmitCount(table, settings);
  }
}

/// Compares two entries of one host. The later start takes precedence, then the
/// higher incarnation, then the later value of `member_state`.
bool IsNewer(const member& update, const member& known) {
  return std::tuple(update.boot, update.incarnation, update.state) >
         std::tuple(known.boot, known.incarnation, known.state);
}

}  // namespace

membership MakeMembership(member self) {
  membership table;
  table.self = self.host;
  table.members[self.host] = std::move(self);
  return table;
}

std::vector<membership_message> AdvanceMembership(
    membership& table, const membership_settings& settings, time_point now,
    std::uint64_t random) {
  ProcessTimeouts(table, settings, now);
  if (table.current_probe.has_value()) {
    const time_point::duration waited = now - table.current_probe->sent_at;
    if (!table.current_probe->indirect_sent &&
        waited >= settings.direct_probe_timeout) {
      return StartIndirectProbes(table, settings, random);
    }
    if (waited >= settings.probe_interval) {
      FailProbe(table, settings, now);
    }
  }
  if (!table.current_probe.has_value() && now >= table.next_probe_at) {
    return StartProbe(table, settings, now, random);
  }
  return {};
}

std::vector<membership_message> HandlePing(membership& table,
                                           const membership_settings& settings,
                                           const std::string& from,
                                           std::uint64_t probe_id,
                                           const std::string& target,
                                           time_point now) {
  const auto sender = table.members.find(from);
  const bool is_suspected = sender != table.members.end() &&
                            (sender->second.state == member_state::kDead ||
                             sender->second.state == member_state::kSuspected);
  if (is_suspected) {
    // Sends the entry with the answer, so that the sender can refute it.
    sender->second.retransmits_left = RetransmitCount(table, settings);
  }
  if (target.empty() || target == table.self) {
    return {{membership_message_kind::kAnswer, from, probe_id, "",
             TakeUpdates(table, settings)}};
  }
  if (!table.members.contains(target)) {
    return {};
  }
  const std::uint64_t id = table.next_probe_id++;
  table.relayed_probes[id] = {from, probe_id, now};
  return {{membership_message_kind::kPing, target, id, "",
           TakeUpdates(table, settings)}};
}

std::vector<membership_message> HandleAnswer(
    membership& table, const membership_settings& settings,
    const std::string& from, std::uint64_t probe_id, time_point now) {
  const auto relayed = table.relayed_probes.find(probe_id);
  if (relayed != table.relayed_probes.end()) {
    const relayed_probe probed = relayed->second;
    table.relayed_probes.erase(relayed);
    return {{membership_message_kind::kAnswer, probed.origin, probed.origin_id,
             "", TakeUpdates(table, settings)}};
  }
  if (table.current_probe.has_value() && table.current_probe->id == probe_id) {
    const auto found = table.members.find(table.current_probe->host);
    const bool direct = from == table.current_probe->host;
    if (found != table.members.end() &&
        found->second.state != member_state::kLeaving &&
        (direct || found->second.state == member_state::kSuspected)) {
      SetState(table, settings, found->second, member_state::kAlive, now);
    }
    table.current_probe.reset();
  }
  return {};
}

void MergeUpdates(membership& table, const membership_settings& settings,
                  const std::vector<member>& updates, time_point now) {
  for (const member& update : updates) {
    if (update.host == table.self) {
      Refute(table, settings, update);
      continue;
    }
    const auto found = table.members.find(update.host);
    if (found != table.members.end() && !IsNewer(update, found->second)) {
      continue;
    }
    member& known = table.members[update.host];
    const bool listed = known.listed;
    const endpoint listed_address = known.peers;
    known = update;
    known.listed = listed;
    if (listed) {
      known.peers = listed_address;
    }
    known.since = now;
    known.retransmits_left = RetransmitCount(table, settings);
  }
}

void MergeHostList(membership& table, const membership_settings& settings,
                   const std::vector<member>& listed, time_point now) {
  for (std::pair<const std::string, member>& entry : table.members) {
    entry.second.listed = false;
  }
  for (const member& each : listed) {
    const bool is_new = !table.members.contains(each.host);
    member& known = table.members[each.host];
    if (is_new) {
      known = each;
      known.since = now;
    }
    known.listed = true;
    known.peers = each.peers;
    if (known.boot == 0) {
      known.availability_zone = each.availability_zone;
    }
    if (each.state == member_state::kLeaving &&
        known.state == member_state::kAlive) {
      SetState(table, settings, known, member_state::kLeaving, now);
    }
  }
}

void AnnounceLeaving(membership& table, const membership_settings& settings,
                     time_point now) {
  member& own = table.members.at(table.self);
  ++own.incarnation;
  SetState(table, settings, own, member_state::kLeaving, now);
}

std::vector<std::string> LiveHosts(const membership& table) {
  std::vector<std::string> names;
  for (const std::pair<const std::string, member>& entry : table.members) {
    if (entry.second.state == member_state::kAlive ||
        entry.second.state == member_state::kSuspected) {
      names.push_back(entry.first);
    }
  }
  return names;
}

bool SeesMajority(const membership& table) {
  std::size_t listed = 0;
  std::size_t alive = 0;
  for (const std::pair<const std::string, member>& entry : table.members) {
    if (entry.second.listed || entry.first == table.self) {
      ++listed;
      alive += entry.second.state == member_state::kDead ||
                       entry.second.state == member_state::kSuspected
                   ? 0
                   : 1;
    }
  }
  return alive * 2 > listed;
}

}  // namespace sassafraswick
