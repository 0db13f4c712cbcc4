#include "sassafraswick/gateway/rate_limiter.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Time after which a bank that has not answered is passed over.
constexpr duration kBankLimit = std::chrono::milliseconds(250);
/// Time after which a silent bank is tried again.
constexpr duration kBankRetry = std::chrono::milliseconds(1000);
/// Shortest time between two questions for waiting requests.
constexpr duration kUrgentInterval = std::chrono::milliseconds(15);
/// Time for which a bank that gave nothing is taken for empty.
constexpr duration kEmptyTime = std::chrono::milliseconds(60);

/// Divisor of the limits while the host does not know with how many others it
/// shares them: the largest fleet that the design is made for.
constexpr std::uint32_t kUnknownHosts = 1200;

/// Tells whether a transfer wants an answer; deposits alone do not.
bool WantsTokens(const message::token_transfer& transfer) {
  return std::any_of(
      transfer.entries().begin(), transfer.entries().end(),
      [](const message::token_entry& entry) { return entry.wanted() > 0.0; });
}

rate_limit LimitOf(const catalog_organisation& organisation) {
  return {organisation.rate, organisation.burst};
}

}  // namespace

rate_limiter::rate_limiter(const boost::asio::any_io_executor& executor,
                           rate_environment environment)
    : environment_(std::move(environment)), changed_(executor) {}

std::uint32_t rate_limiter::HostCount() const {
  const std::uint32_t sharing = environment_.sharing();
  return sharing == 0 ? kUnknownHosts : sharing;
}

std::string rate_limiter::FindBank(const std::string& organisation,
                                   time_point now) {
  for (const std::string& host : ranking_.Rank(organisation)) {
    const auto contact = contacts_.find(host);
    const bool silent = contact != contacts_.end() &&
                        contact->second.unanswered &&
                        now - contact->second.asked_at > kBankLimit &&
                        now - contact->second.asked_at < kBankRetry;
    if (!silent) {
      return host;
    }
  }
  return environment_.host;
}

boost::asio::awaitable<rate_verdict> rate_limiter::Admit(
    catalog_organisation organisation, duration patience) {
  const time_point limit = monotonic_clock::now() + patience;
  token_account& account = accounts_[organisation.name];
  RecordDemand(account, monotonic_clock::now());
  rate_verdict verdict;
  bool waiting = false;
  while (true) {
    const time_point now = monotonic_clock::now();
    RefillAccount(account, LimitOf(organisation), HostCount(), now);
    verdict.admitted = TrySpendToken(account);
    const duration own =
        TimeToToken(account, LimitOf(organisation), HostCount());
    const bool hopeless = now < account.bank_empty_until &&
                          now + own * (account.waiting + 1) > limit;
    if (verdict.admitted || hopeless || now >= limit) {
      verdict.retry_after = own * (account.waiting + 1);
      break;
    }
    if (!waiting) {
      waiting = true;
      ++account.waiting;
    }
    if (now >= account.bank_empty_until) {
      Exchange(organisation.name, now);
    }
    const duration left = std::chrono::duration_cast<duration>(limit - now);
    co_await changed_.Wait(std::min(left, std::max(own, kUrgentInterval)));
  }
  if (waiting) {
    --account.waiting;
  }
  co_return verdict;
}

void rate_limiter::Refund(const std::string& organisation) {
  RefundToken(accounts_[organisation]);
}

void rate_limiter::AddEntry(
    std::map<std::string, message::token_transfer>& transfers,
    const catalog_organisation& organisation, token_account& account,
    time_point now) {
  const token_transfer planned =
      PlanTransfer(account, LimitOf(organisation), HostCount(), now);
  const bool asks = planned.wanted > 0.0 && now >= account.bank_empty_until;
  if (planned.deposit <= 0.0 && !asks) {
    return;
  }
  message::token_entry& entry =
      *transfers[FindBank(organisation.name, now)].add_entries();
  entry.set_organisation(organisation.name);
  entry.set_deposit(planned.deposit);
  entry.set_wanted(asks ? planned.wanted : 0.0);
}

void rate_limiter::Exchange(const std::string& organisation, time_point now) {
  const catalog* const tables = environment_.tables();
  time_point& last = urgent_at_[organisation];
  if (tables == nullptr || now - last < kUrgentInterval) {
    return;
  }
  const auto found = tables->organisations.find(organisation);
  if (found == tables->organisations.end()) {
    return;
  }
  last = now;
  ranking_.SetHosts(environment_.hosts());
  std::map<std::string, message::token_transfer> transfers;
  AddEntry(transfers, found->second, accounts_[organisation], now);
  SendTransfers(std::move(transfers), now);
}

void rate_limiter::Tick(time_point now) {
  const catalog* const tables = environment_.tables();
  if (tables == nullptr) {
    return;
  }
  ranking_.SetHosts(environment_.hosts());
  std::map<std::string, message::token_transfer> transfers;
  for (const std::pair<const std::string, catalog_organisation>& entry :
       tables->organisations) {
    AddEntry(transfers, entry.second, accounts_[entry.first], now);
  }
  SendTransfers(std::move(transfers), now);
}

void rate_limiter::SendTransfers(
    std::map<std::string, message::token_transfer> transfers, time_point now) {
  for (std::pair<const std::string, message::token_transfer>& entry :
       transfers) {
    if (entry.first == environment_.host) {
      HandleAnswer(environment_.host, Serve(entry.second));
      continue;
    }
    if (WantsTokens(entry.second)) {
      bank_contact& contact = contacts_[entry.first];
      if (!contact.unanswered || now - contact.asked_at >= kBankRetry) {
        contact.asked_at = now;
      }
      contact.unanswered = true;
    }
    message::envelope envelope;
    *envelope.mutable_token_transfer() = std::move(entry.second);
    environment_.send(entry.first, std::move(envelope));
  }
}

message::token_answer rate_limiter::Serve(
    const message::token_transfer& transfer) {
  message::token_answer answer;
  const catalog* const tables = environment_.tables();
  for (const message::token_entry& entry : transfer.entries()) {
    if (tables == nullptr) {
      break;
    }
    const auto found = tables->organisations.find(entry.organisation());
    if (found == tables->organisations.end()) {
      continue;
    }
    const double tokens =
        ServeTransfer(banks_[entry.organisation()], LimitOf(found->second),
                      {entry.deposit(), entry.wanted()});
    if (entry.wanted() > 0.0) {
      message::token_given& given = *answer.add_given();
      given.set_organisation(entry.organisation());
      given.set_tokens(tokens);
    }
  }
  return answer;
}

void rate_limiter::HandleTransfer(const std::string& from,
                                  const message::token_transfer& transfer) {
  message::envelope envelope;
  *envelope.mutable_token_answer() = Serve(transfer);
  if (WantsTokens(transfer)) {
    environment_.send(from, std::move(envelope));
  }
}

void rate_limiter::HandleAnswer(const std::string& from,
                                const message::token_answer& answer) {
  const time_point now = monotonic_clock::now();
  contacts_[from].unanswered = false;
  for (const message::token_given& given : answer.given()) {
    token_account& account = accounts_[given.organisation()];
    account.level += given.tokens();
    if (given.tokens() < 1.0) {
      account.bank_empty_until = now + kEmptyTime;
    }
  }
  changed_.NotifyAll();
}

}  // namespace sassafraswick
