#ifndef SASSAFRASWICK_PEER_MEMBERSHIP_H_
#define SASSAFRASWICK_PEER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"

/// @file
/// Which hosts live, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol",
/// 2002): each host probes one other a period, directly and through others,
/// and what it learns rides on the probes. The cost a host does not grow with
/// the fleet.

namespace sassafraswick {

enum class member_state : std::uint8_t { kAlive, kSuspected, kDead, kLeaving };

/// What one host knows of another.
struct member {
  std::string host;
  std::string availability_zone;
  endpoint peers;
  /// Start of the host: later starts have higher numbers. Zero if unknown.
  std::uint64_t boot = 0;
  /// Raised by the host itself to refute a suspicion.
  std::uint64_t incarnation = 0;
  member_state state = member_state::kAlive;
  /// When the state last changed here.
  time_point since;
  /// The platform lists it.
  bool listed = false;
  /// Times the news of it is still to be passed on.
  std::uint32_t retransmits_left = 0;
};

struct membership_settings {
  duration probe_interval = std::chrono::milliseconds(400);
  duration direct_probe_timeout = std::chrono::milliseconds(150);
  /// Time a suspected host has to refute.
  duration suspicion_timeout = std::chrono::milliseconds(1200);
  std::uint32_t indirect_probes = 2;
  std::uint32_t updates_per_message = 6;
  /// Each news is passed on this often times the logarithm of the fleet.
  std::uint32_t retransmit_multiplier = 4;
};

/// A probe under way.
struct probe {
  std::uint64_t id = 0;
  std::string host;
  time_point sent_at;
  bool indirect_sent = false;
};

/// A probe made for another host.
struct relayed_probe {
  std::string origin;
  std::uint64_t origin_id = 0;
  time_point sent_at;
};

/// All known hosts, with this one among them.
struct membership {
  std::string self;
  std::map<std::string, member, std::less<>> members;
  std::optional<probe> current_probe;
  std::map<std::uint64_t, relayed_probe> relayed_probes;
  std::uint64_t next_probe_id = 1;
  time_point next_probe_at;
};

enum class membership_message_kind : std::uint8_t { kPing, kAnswer };

/// A message to be sent; news travels with it.
struct membership_message {
  membership_message_kind kind = membership_message_kind::kPing;
  std::string to;
  std::uint64_t probe = 0;
  /// For a ping: host to be probed on behalf of the sender, or empty.
  std::string target;
  std::vector<member> news;
};

/// Starts a table that knows only its own host.
[[nodiscard]] membership MakeMembership(member self);

/// Advances probing and suspicions.
[[nodiscard]] std::vector<membership_message> TickMembership(
    membership& table, const membership_settings& settings, time_point now,
    std::uint64_t random);

/// Handles a ping.
[[nodiscard]] std::vector<membership_message> HandlePing(
    membership& table, const membership_settings& settings,
    const std::string& from, std::uint64_t probe_id, const std::string& target,
    time_point now);

/// Handles the answer to a ping.
[[nodiscard]] std::vector<membership_message> HandleAnswer(
    membership& table, const membership_settings& settings,
    const std::string& from, std::uint64_t probe_id, time_point now);

/// Takes over what another host says.
void MergeUpdates(membership& table, const membership_settings& settings,
                  const std::vector<member>& news, time_point now);

/// Takes over the platform's list. Its addresses go before what hosts say.
/// Listed hosts that are not known are taken for alive until probed; unlisted
/// ones stay while they are alive.
void MergeHostList(membership& table, const membership_settings& settings,
                   const std::vector<member>& listed, time_point now);

/// Announces that this host is leaving.
void AnnounceLeaving(membership& table, const membership_settings& settings,
                     time_point now);

/// Hosts that are neither dead nor leaving, in name order.
[[nodiscard]] std::vector<std::string> LiveHosts(const membership& table);

/// Tells whether more than half of the listed hosts are believed alive.
[[nodiscard]] bool SeesMajority(const membership& table);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_MEMBERSHIP_H_
