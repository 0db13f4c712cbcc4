#ifndef SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_
#define SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/fleet/hub_monitor.h"
#include "sassafraswick/limits/idle_share.h"
#include "sassafraswick/limits/token_exchange.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/message.pb.h"
#include "sassafraswick/routing/rendezvous.h"

/// @file
/// Admits operations within the rate limits of their organisations, by
/// exchanging tokens with other hosts. `limits/token_exchange.h` and
/// `limits/idle_share.h` explain why the sum over all hosts stays within the
/// limit.

namespace sassafraswick {

/// Result of requesting a token.
struct admission_result {
  bool admitted = false;
  /// If not admitted, the time after which a token may be available.
  duration retry_after = duration::zero();
};

/// Interface through which the rate limiter uses its host.
struct rate_limiter_environment {
  std::string host;
  /// Names of all hosts, including this one.
  std::function<const std::vector<std::string>&()> hosts;
  /// Processor capacities of `hosts`.
  std::function<const std::vector<double>&()> cores;
  /// Number of hosts that share limits; zero while it is unknown.
  std::function<std::uint32_t()> host_count;
  std::function<void(const std::string& host, message::envelope envelope)> send;
  /// The current catalog, or null before the first one.
  std::function<const catalog*()> current_catalog;
  /// Tracks which hubs respond.
  hub_monitor* hubs = nullptr;
};

class rate_limiter {
 public:
  rate_limiter(const boost::asio::any_io_executor& executor,
               rate_limiter_environment environment);

  /// Requests a token for one operation.
  /// @param max_wait Longest wait for a token, if one can arrive in time.
  boost::asio::awaitable<admission_result> Admit(
      catalog_organisation organisation, duration max_wait);

  /// Takes a token if one is available at this host now.
  [[nodiscard]] bool TryAdmit(const catalog_organisation& organisation);

  /// Returns the token of an operation that was not run.
  void Refund(const std::string& organisation);

  /// Exchanges tokens with the shared buckets. Must be called every
  /// `kExchangeInterval`.
  void RunScheduledExchange(time_point now);

  /// Applies another host's transfer to the shared buckets on this host.
  /// @return The response, if the transfer needs one.
  [[nodiscard]] std::optional<message::token_answer> HandleTransfer(
      const message::token_transfer& transfer);

  /// Adds the tokens in a response to the local buckets.
  void HandleAnswer(const message::token_answer& answer);

 private:
  using transfers = std::map<std::string, message::token_transfer>;

  [[nodiscard]] std::uint32_t HostCount() const;
  [[nodiscard]] std::string FindSharedBucketHost(std::uint32_t shard,
                                                 time_point now);
  local_rate_bucket& LocalBucket(const std::string& organisation);
  void RequestTokens(const std::string& organisation, time_point now);
  void AddEntry(transfers& planned, const catalog_organisation& organisation,
                local_rate_bucket& local_bucket, time_point now);
  void AddIdleShares(transfers& planned, const catalog& current_catalog,
                     time_point now);
  void CloseIdleBuckets(transfers& planned, const catalog& current_catalog,
                        time_point now);
  void UpdateShardSizes(const catalog& current_catalog);
  void SendTransfers(transfers planned, time_point now);
  [[nodiscard]] message::token_answer ApplyTransfer(
      const message::token_transfer& transfer);
  void CreditIdleShare(const message::idle_share& idle,
                       const catalog& current_catalog);
  shared_rate_bucket& RefilledSharedBucket(
      const catalog_organisation& organisation);

  rate_limiter_environment environment_;
  async_event tokens_received_;
  /// Buckets of the organisations that used this host recently.
  std::map<std::string, local_rate_bucket> local_buckets_;
  std::map<std::string, shared_rate_bucket> shared_buckets_;
  std::array<share_clock, kRateShardCount> clocks_;
  std::map<std::string, time_point> last_token_request_;
  /// Start of the time for which the shares of organisations without a local
  /// bucket are unused and not reported yet. A starting host has used none
  /// since its process began; the time before may have been reported.
  time_point idle_since_;
  time_point idle_report_due_;
  /// Number of organisations in each shard, for catalog `shard_sizes_version_`.
  std::array<std::uint32_t, kRateShardCount> shard_sizes_{};
  std::uint64_t shard_sizes_version_ = 0;
  /// Ranks the hubs that may hold a shard's shared buckets.
  hub_ranking ranking_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_
