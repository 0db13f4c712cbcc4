#ifndef SASSAFRASWICK_PROXY_LIMIT_SERVICE_H_
#define SASSAFRASWICK_PROXY_LIMIT_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sassafraswick/config/configuration.h"
#include "sassafraswick/limits/capacity_grant.h"
#include "sassafraswick/limits/grantor_shard.h"
#include "sassafraswick/limits/token_grant.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/message.pb.h"

/// @file
/// Requests rate tokens and connections from the grantors, and grants them for
/// the shards whose grantor is this host.

namespace sassafraswick {

/// Whether a statement is within the rate limit of its organisation.
struct admission {
  bool admitted = false;
  /// Not admitted because no grantor responded in time.
  bool grantor_unresponsive = false;
  /// If not admitted, the time until a token is expected.
  duration retry_after = duration::zero();
};

/// What the limit service needs from its host.
struct limit_environment {
  /// Must not return null while statements are admitted.
  std::function<const configuration*()> current_configuration;
  std::function<const membership&()> fleet;
  std::function<void(const std::string& host, message::envelope)> send;
  /// Name and start number of this host.
  std::string host;
  std::uint64_t boot = 0;
};

/// Enforces the limits that apply to this host, and grants shares of them to
/// other hosts.
class limit_service {
 public:
  limit_service(boost::asio::io_context& context,
                limit_environment environment);

  /// Waits for a token.
  /// @param deadline Latest time at which the statement is admitted.
  boost::asio::awaitable<admission> Admit(std::string organisation,
                                          time_point deadline);

  /// Updates the number of connections from this host to an instance, for the
  /// next request to the grantor.
  /// @param resource Name of the instance, the same on all hosts.
  /// @param fallback Number allowed until a grantor has responded, and upper
  /// bound once its grant has expired.
  /// @return Number of connections that this host may hold.
  std::uint32_t UpdateConnections(const std::string& resource,
                                  std::uint32_t held, std::uint32_t wanted,
                                  std::uint32_t fallback);

  /// Sends the requests that are due. Called every few milliseconds while
  /// `IsActive`.
  void SendDueRequests(time_point now);

  /// Returns whether an organisation waits for tokens or used one recently.
  [[nodiscard]] bool IsActive(time_point now) const;

  void HandleRequest(const std::string& from, std::uint64_t boot,
                     const message::limit_request& request);
  void HandleAnswer(const message::limit_answer& answer);

  /// Sends the token buckets of this host's shards to the likely next grantors.
  /// The host must have stopped granting.
  void HandOverShards(time_point now);
  void HandleHandover(const message::shard_handover& handover, time_point now);

  /// The known grantor of each shard.
  [[nodiscard]] grantor_shards& Shards() noexcept { return shards_; }
  [[nodiscard]] const std::map<std::string, token_allowance>& Allowances()
      const noexcept {
    return allowances_;
  }
  /// Starts granting for a shard that this host has claimed.
  /// @param first_claim The shard never had a grantor.
  /// @param predecessor Epoch of the previous grantor, zero if there was none.
  /// @param wait Time until the previous grantor must have stopped.
  void StartGranting(std::uint32_t shard, bool first_claim,
                     grantor_epoch predecessor, duration wait, time_point now);
  void SetStoreUnavailable(bool unavailable) noexcept {
    store_unavailable_ = unavailable;
  }

 private:
  struct local_capacity {
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;
    std::uint32_t allowed = 0;
    std::uint32_t fallback = 0;
    time_point valid_until;
    time_point used_at;
    /// More connections are wanted or held than allowed, so they are reported
    /// before the refresh interval has passed.
    bool urgent = false;
  };
  /// Token buckets and connection counts of a shard that this host grants for.
  struct granted_shard {
    std::map<std::string, token_bucket> buckets;
    std::map<std::string, capacity_table> capacities;
    bool first_claim = false;
    /// Token buckets that the previous grantor handed over, if any.
    std::map<std::string, handed_bucket> handed_over;
    time_point handed_over_at;
  };
  /// Handover from a stopping grantor, received before this host claimed the
  /// shard.
  struct pending_handover {
    grantor_epoch epoch = 0;
    std::map<std::string, handed_bucket> buckets;
    time_point received_at;
  };
  struct shard_exchange {
    /// Number of the unanswered request; zero if there is none.
    std::uint64_t pending_request = 0;
    time_point sent_at;
    time_point last_capacity_at;
  };

  void SendRequest(std::uint32_t shard, time_point now);
  [[nodiscard]] bool IsRequestDue(std::uint32_t shard, time_point now) const;
  [[nodiscard]] message::limit_request MakeRequest(std::uint32_t shard,
                                                   time_point now);
  [[nodiscard]] message::limit_answer MakeAnswer(
      const std::string& host, const message::limit_request& request);
  void GrantTokens(const std::string& host,
                   const message::limit_request& request,
                   message::limit_answer& answer, time_point now);
  void GrantCapacities(const std::string& host,
                       const message::limit_request& request,
                       message::limit_answer& answer, time_point now);
  [[nodiscard]] token_bucket& FindBucket(std::uint32_t shard,
                                         const std::string& organisation,
                                         const rate_limit& limit);
  [[nodiscard]] std::uint32_t TotalConnections(
      const std::string& resource) const;

  limit_environment environment_;
  grantor_settings settings_;
  grantor_shards shards_;
  std::map<std::uint32_t, granted_shard> granting_;
  std::map<std::uint32_t, pending_handover> handovers_;
  std::array<shard_exchange, kGrantorShardCount> exchanges_;
  std::map<std::string, token_allowance> allowances_;
  std::map<std::string, duration> retry_after_;
  std::map<std::string, local_capacity> capacities_;
  std::uint64_t next_request_ = 1;
  bool store_unavailable_ = false;
  async_event changed_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_LIMIT_SERVICE_H_
