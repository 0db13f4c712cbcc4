#ifndef SASSAFRASWICK_ROUTING_RENDEZVOUS_H_
#define SASSAFRASWICK_ROUTING_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Rendezvous hashing (Thaler and Ravishankar, 1998): every host ranks the
/// same hosts in the same order for a name, and a host that comes or goes moves
/// only its own share of the names.

namespace sassafraswick {

/// Score of a host for a name; equal on all hosts.
[[nodiscard]] std::uint64_t RendezvousScore(std::string_view name,
                                            std::string_view host);

/// Sorts hosts by descending score for a name.
[[nodiscard]] std::vector<std::string> RendezvousOrder(
    std::string_view name, std::vector<std::string> hosts);

/// Least number of hubs, and hosts for each hub in larger fleets. Every host
/// tells every hub of idle shares, so each hub costs every host messages; fewer
/// hubs have more questions to answer each.
inline constexpr std::size_t kMinHubs = 8;
inline constexpr std::size_t kHostsPerHub = 16;

/// The hosts that keep tokens and gather proofs for all others; in a small
/// fleet every host.
[[nodiscard]] std::vector<std::string> HubHosts(
    const std::vector<std::string>& hosts);

/// Ranks hubs for names, and keeps the ranks until the hosts change.
class hub_ranking {
 public:
  /// Takes over the hosts of the fleet.
  void SetHosts(const std::vector<std::string>& hosts);

  /// Hubs for a name, best first.
  [[nodiscard]] const std::vector<std::string>& RankedHubs(
      const std::string& name);

 private:
  std::vector<std::string> hosts_;
  std::vector<std::string> hubs_;
  std::map<std::string, std::vector<std::string>> rankings_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_RENDEZVOUS_H_
