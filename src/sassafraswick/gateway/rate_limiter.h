#ifndef SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_
#define SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/limits/token_exchange.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/message.pb.h"
#include "sassafraswick/routing/rendezvous.h"

/// @file
/// Admits operations within their organisations' limits, by exchanging tokens
/// with other hosts. See `limits/token_exchange.h` for why the sum holds.

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
  void HandleTransfer(const std::string& from,
                      const message::token_transfer& transfer);

  /// Takes over a bank's answer.
  void HandleAnswer(const std::string& from,
                    const message::token_answer& answer);

 private:
  /// Exchange with one host.
  struct bank_contact {
    time_point asked_at;
    bool unanswered = false;
  };

  [[nodiscard]] std::uint32_t HostCount() const;
  [[nodiscard]] std::string FindBank(const std::string& organisation,
                                     time_point now);
  void Exchange(const std::string& organisation, time_point now);
  void SendTransfers(std::map<std::string, message::token_transfer> transfers,
                     time_point now);
  [[nodiscard]] message::token_answer Serve(
      const message::token_transfer& transfer);
  void AddEntry(std::map<std::string, message::token_transfer>& transfers,
                const catalog_organisation& organisation,
                token_account& account, time_point now);

  rate_environment environment_;
  async_event changed_;
  std::map<std::string, token_account> accounts_;
  std::map<std::string, token_bank> banks_;
  std::map<std::string, bank_contact> contacts_;
  std::map<std::string, time_point> urgent_at_;
  /// Banks of each organisation.
  hub_ranking ranking_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_RATE_LIMITER_H_
