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
/// Admits operations within their organisations' limits, by exchanging tokens
/// with other hosts. See `limits/token_exchange.h` and `limits/idle_share.h`
/// for why the sum holds.

namespace sassafraswick {

/// Outcome of asking for a token.
struct rate_verdict {
  bool admitted = false;
  /// Time after which a token may be free, if refused.
  duration retry_after = duration::zero();
};

/// What the limiter needs of its host.
struct rate_environment {
  std::string host;
  /// Names of all hosts, this one included.
  std::function<const std::vector<std::string>&()> hosts;
  /// Hosts among which limits are shared; zero while that is not known.
  std::function<std::uint32_t()> sharing;
  std::function<void(const std::string& host, message::envelope envelope)> send;
  /// Newest catalog, or null before the first.
  std::function<const catalog*()> tables;
  /// Which hubs answer.
  hub_monitor* contacts = nullptr;
};

class rate_limiter {
 public:
  rate_limiter(const boost::asio::any_io_executor& executor,
               rate_environment environment);

  /// Asks for one operation's token.
  /// @param patience Longest wait, if one may come.
  boost::asio::awaitable<rate_verdict> Admit(catalog_organisation organisation,
                                             duration patience);

  /// Gives back the token of an operation that was not run.
  void Refund(const std::string& organisation);

  /// Exchanges tokens with the banks; to be called every `kExchangeInterval`.
  void Tick(time_point now);

  /// Serves another host's transfer.
  /// @return The answer, if one is wanted.
  [[nodiscard]] std::optional<message::token_answer> HandleTransfer(
      const message::token_transfer& transfer);

  /// Takes over a bank's answer.
  void HandleAnswer(const message::token_answer& answer);

 private:
  using transfers = std::map<std::string, message::token_transfer>;

  [[nodiscard]] std::uint32_t HostCount() const;
  [[nodiscard]] std::string FindBank(std::uint32_t shard, time_point now);
  local_rate_bucket& Account(const std::string& organisation, time_point now);
  void Exchange(const std::string& organisation, time_point now);
  void AddEntry(transfers& planned, const catalog_organisation& organisation,
                local_rate_bucket& account, time_point now);
  void AddIdleShares(transfers& planned, const catalog& tables, time_point now);
  void CloseIdleAccounts(transfers& planned, const catalog& tables,
                         time_point now);
  void CountShards(const catalog& tables);
  void SendTransfers(transfers planned, time_point now);
  [[nodiscard]] message::token_answer Serve(
      const message::token_transfer& transfer);
  void TakeIdleShare(const message::idle_share& idle, const catalog& tables);
  shared_rate_bucket& CreditedBank(const catalog_organisation& organisation);

  rate_environment environment_;
  async_event changed_;
  /// Accounts of organisations that called this host lately.
  std::map<std::string, local_rate_bucket> accounts_;
  std::map<std::string, shared_rate_bucket> banks_;
  std::array<share_clock, kRateShardCount> clocks_;
  std::map<std::string, time_point> urgent_at_;
  /// Since when the shares of all other organisations lie unused here.
  time_point idle_since_;
  time_point idle_due_;
  /// Organisations of each shard in the configuration of this version.
  std::array<std::uint32_t, kRateShardCount> shard_sizes_{};
  std::uint64_t counted_version_ = 0;
  /// Banks of each shard.
  hub_ranking ranking_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_
