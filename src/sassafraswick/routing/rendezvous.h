#ifndef SASSAFRASWICK_ROUTING_RENDEZVOUS_H_
#define SASSAFRASWICK_ROUTING_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Rendezvous hashing (Thaler and Ravishankar, 1998): all hosts compute the
/// same ranking of hosts for a name, and adding or removing a host reassigns
/// only that host's share of the names.

namespace sassafraswick {

/// Returns the score of a host for a name, which is the same on all hosts.
[[nodiscard]] std::uint64_t RendezvousScore(std::string_view name,
                                            std::string_view host);

/// Sorts hosts by descending score for a name.
[[nodiscard]] std::vector<std::string> RendezvousOrder(
    std::string_view name, std::vector<std::string> hosts);

/// Minimum number of hubs, and number of hosts per hub in larger fleets. Every
/// host reports its idle shares to every hub, so each hub adds messages for
/// every host; with fewer hubs, each one has more requests to serve.
inline constexpr std::size_t kMinHubs = 8;
inline constexpr std::size_t kHostsPerHub = 16;

/// Returns the hubs: the hosts that hold the shared token buckets and collect
/// proofs. In a large fleet all hosts use them, so the hosts with the most
/// processor capacity are chosen, and by hash among similar ones. In a small
/// fleet every host is a hub.
/// @param cores Processor capacity of each host; zero where it is unknown.
[[nodiscard]] std::vector<std::string> HubHosts(
    const std::vector<std::string>& hosts,
    const std::vector<double>& cores = {});

/// Ranks the hubs for names. Hosts of any capacity follow the hubs, as those
/// with the most may all fail together.
class hub_ranking {
 public:
  /// Sets the hosts of the fleet.
  /// @param cores Processor capacity of each host; zero where it is unknown.
  void SetHosts(const std::vector<std::string>& hosts,
                const std::vector<double>& cores = {});

  /// Returns the hubs for a name, highest score first, and then other hosts.
  [[nodiscard]] const std::vector<std::string>& RankedHubs(
      const std::string& name);

 private:
  std::vector<std::string> hosts_;
  std::vector<double> cores_;
  std::vector<std::string> hubs_;
  /// Hosts that take over if no hub responds.
  std::vector<std::string> successors_;
  std::map<std::string, std::vector<std::string>> rankings_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_RENDEZVOUS_H_
