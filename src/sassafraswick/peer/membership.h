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
/// Failure detection and membership dissemination after SWIM (Das, Gupta,
/// Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol", 2002). Each host probes one other host per interval,
/// first directly and then through others; membership updates are piggybacked
/// on pings and answers. The number of messages that a host sends does not grow
/// with the fleet.

namespace sassafraswick {

/// In ascending precedence: of two entries with the same boot and incarnation,
/// the one with the later state is kept.
enum class member_state : std::uint8_t { kAlive, kSuspected, kDead, kLeaving };

/// A host as seen by one member of the fleet.
struct member {
  std::string host;
  std::string availability_zone;
  /// Address that the host listens on for its peers.
  endpoint peers;
  /// Number of the host's start; later starts have higher numbers. Zero if
  /// unknown.
  std::uint64_t boot = 0;
  /// Raised by the host itself to refute a suspicion.
  std::uint64_t incarnation = 0;
  member_state state = member_state::kAlive;
  /// Time at which this process last updated the state.
  time_point since;
  /// Whether the platform's host list contains the host.
  bool listed = false;
  /// Messages on which this entry is still to be piggybacked.
  std::uint32_t retransmits_left = 0;
};

struct membership_settings {
  duration probe_interval = std::chrono::milliseconds(400);
  duration direct_probe_timeout = std::chrono::milliseconds(150);
  /// Time after which a suspected host that has not refuted the suspicion is
  /// declared dead.
  duration suspicion_timeout = std::chrono::milliseconds(1200);
  /// Hosts that are asked to probe a host that does not answer directly.
  std::uint32_t indirect_probes = 2;
  /// Entries per message in addition to the sender's own.
  std::uint32_t updates_per_message = 6;
  /// An update is sent this many times the binary logarithm of the fleet's
  /// size.
  std::uint32_t retransmit_multiplier = 4;
};

/// A probe that has not been answered yet.
struct probe {
  std::uint64_t id = 0;
  std::string host;
  time_point sent_at;
  bool indirect_sent = false;
};

/// An indirect probe, sent on behalf of another host.
struct relayed_probe {
  /// Host that asked for the probe.
  std::string origin;
  /// Identifier of the probe at that host.
  std::uint64_t origin_id = 0;
  time_point sent_at;
};

/// The membership table of one host, which contains its own entry.
struct membership {
  std::string self;
  std::map<std::string, member, std::less<>> members;
  std::optional<probe> current_probe;
  std::map<std::uint64_t, relayed_probe> relayed_probes;
  std::uint64_t next_probe_id = 1;
  time_point next_probe_at;
};

enum class membership_message_kind : std::uint8_t { kPing, kAnswer };

/// A message to be sent.
struct membership_message {
  membership_message_kind kind = membership_message_kind::kPing;
  std::string to;
  std::uint64_t probe = 0;
  /// For a ping: host to be probed on behalf of the sender, or empty.
  std::string target;
  /// Piggybacked membership updates.
  std::vector<member> news;
};

/// Creates a table that contains only the host itself.
[[nodiscard]] membership MakeMembership(member self);

/// Sends due probes and applies expired timeouts.
/// @param random A fresh random number, which selects the hosts to probe.
/// @return Messages to send.
[[nodiscard]] std::vector<membership_message> AdvanceMembership(
    membership& table, const membership_settings& settings, time_point now,
    std::uint64_t random);

/// Handles a ping.
/// @param target Host to be probed on behalf of the sender; if it is empty or
/// this host itself, the ping is answered directly.
/// @return Messages to send.
[[nodiscard]] std::vector<membership_message> HandlePing(
    membership& table, const membership_settings& settings,
    const std::string& from, std::uint64_t probe_id, const std::string& target,
    time_point now);

/// Handles the answer to a ping, which for a relayed probe is forwarded.
/// @return Messages to send.
[[nodiscard]] std::vector<membership_message> HandleAnswer(
    membership& table, const membership_settings& settings,
    const std::string& from, std::uint64_t probe_id, time_point now);

/// Merges the updates of a received message.
void MergeUpdates(membership& table, const membership_settings& settings,
                  const std::vector<member>& updates, time_point now);

/// Merges the platform's host list. Its addresses override those that hosts
/// announce. A listed host that is not known yet is assumed alive until it is
/// probed; a host that is no longer listed stays while it is alive.
void MergeHostList(membership& table, const membership_settings& settings,
                   const std::vector<member>& listed, time_point now);

/// Marks this host as leaving, which the next messages announce.
void AnnounceLeaving(membership& table, const membership_settings& settings,
                     time_point now);

/// Lists the hosts that are neither dead nor leaving, in name order.
[[nodiscard]] std::vector<std::string> LiveHosts(const membership& table);

/// Returns whether more than half of the listed hosts, counting this one, are
/// neither suspected nor dead.
[[nodiscard]] bool SeesMajority(const membership& table);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PEER_MEMBERSHIP_H_
