#ifndef SASSAFRASWICK_PROXY_FLEET_SERVICE_H_
#define SASSAFRASWICK_PROXY_FLEET_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "sassafraswick/peer/membership.h"
#include "sassafraswick/peer/peer_link.h"
#include "sassafraswick/proxy/host_runtime.h"
#include "sassafraswick/store/etcd_store.h"

/// @file
/// Exchanges with other hosts and the store: membership, configuration, shard
/// grantors and reachability of primaries.

namespace sassafraswick {

/// Runs the exchanges of a host with its peers and the platform.
class fleet_service {
 public:
  fleet_service(host_runtime& runtime, peer_link& link);

  /// Starts the background loops.
  void Start();

  /// Handles a message from a peer or an administration tool.
  void Handle(const message::envelope& received, const std::string& route);

  /// Announces to the fleet that this host is leaving, and hands its shards
  /// over.
  void AnnounceLeave();

  /// Sends a message to the named host, if it is a known member.
  void SendTo(const std::string& host, message::envelope envelope);

 private:
  boost::asio::awaitable<void> RunTickLoop();
  boost::asio::awaitable<void> PollHostList();
  boost::asio::awaitable<void> WatchConfiguration();
  boost::asio::awaitable<void> PollGrantors();
  boost::asio::awaitable<bool> RefreshGrantors();
  boost::asio::awaitable<void> ClaimShards();
  [[nodiscard]] bool IsWatcher() const;
  void SendMembership(const std::vector<membership_message>& messages);
  void HandleMembership(const message::envelope& received);
  void RequestNewerVersion(const std::string& from, std::uint64_t version);
  void ApplyRecord(const std::string& record);
  void AnnounceVersion();
  void QueryPrimaries(time_point now);
  void HandlePrimaryQuery(const message::envelope& received);
  template <typename Ping>
  void FillUpdates(Ping& ping, const std::vector<member>& updates) const;
  template <typename Ping>
  void ApplyUpdates(const Ping& ping, const std::string& from);

  host_runtime& runtime_;
  peer_link& link_;
  etcd_store store_;
  membership_settings settings_;
  /// Last known store revision of each shard's record.
  std::map<std::uint32_t, std::int64_t> shard_revisions_;
  std::uint64_t requested_version_ = 0;
  time_point version_requested_at_;
  time_point primaries_queried_at_;
  time_point membership_ticked_at_;
  std::mt19937_64 random_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_FLEET_SERVICE_H_
