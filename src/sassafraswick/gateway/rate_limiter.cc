#include "sassafraswick/gateway/rate_limiter.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Shortest time between two questions for waiting requests.
constexpr duration kUrgentInterval = std::chrono::milliseconds(15);
/// Time for which a bank that gave nothing is taken for empty.
constexpr duration kEmptyTime = std::chrono::milliseconds(60);

/// Divisor of the limits while the host does not know with how many others it
/// shares them: the largest fleet that the design is made for.
constexpr std::uint32_t kUnknownHosts = 1200;

/// Tells whether a transfer wants an answer: deposits alone do not, probes and
/// idle shares do, since they show whether the bank lives.
bool WantsAnswer(const message::token_transfer& transfer) {
  return transfer.entries().empty() || transfer.has_idle() ||
         std::any_of(transfer.entries().begin(), transfer.entries().end(),
                     [](const message::token_entry& entry) {
                       return entry.wanted() > 0.0;
                     });
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

std::string rate_limiter::FindBank(std::uint32_t shard, time_point now) {
  const std::string answering = environment_.contacts->FirstResponsive(
      ranking_.RankedHubs("shard/" + std::to_string(shard)), now);
  return answering.empty() ? environment_.host : answering;
}

local_rate_bucket& rate_limiter::Account(const std::string& organisation,
                                         time_point now) {
  if (idle_since_ == time_point()) {
    idle_since_ = now - kStartupCredit;
  }
  const std::pair<std::map<std::string, local_rate_bucket>::iterator, bool>
      inserted = accounts_.try_emplace(organisation);
  if (inserted.second) {
    inserted.first->second.refilled_at = idle_since_;
  }
  return inserted.first->second;
}

boost::asio::awaitable<rate_verdict> rate_limiter::Admit(
    catalog_organisation organisation, duration patience) {
  const time_point limit = monotonic_clock::now() + patience;
  local_rate_bucket& account =
      Account(organisation.name, monotonic_clock::now());
  RecordDemand(account, monotonic_clock::now());
  rate_verdict verdict;
  bool waiting = false;
  while (true) {
    const time_point now = monotonic_clock::now();
    RefillLocalBucket(account, LimitOf(organisation), HostCount(), now);
    verdict.admitted = TrySpendToken(account);
    const duration own =
        TimeToNextToken(account, LimitOf(organisation), HostCount());
    const bool hopeless = now < account.shared_bucket_empty_until &&
                          now + own * (account.waiting + 1) > limit;
    if (verdict.admitted || hopeless || now >= limit) {
      verdict.retry_after =
          std::min(own * (account.waiting + 1),
                   EstimatedRetryDelay(LimitOf(organisation), account.waiting));
      break;
    }
    if (!waiting) {
      waiting = true;
      ++account.waiting;
    }
    if (now >= account.shared_bucket_empty_until) {
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
  RefundToken(Account(organisation, monotonic_clock::now()));
}

void rate_limiter::AddEntry(transfers& planned,
                            const catalog_organisation& organisation,
                            local_rate_bucket& account, time_point now) {
  const token_transfer wish =
      PlanTransfer(account, LimitOf(organisation), HostCount(), now);
  const bool asks =
      wish.wanted > 0.0 && now >= account.shared_bucket_empty_until;
  if (wish.deposit <= 0.0 && !asks) {
    return;
  }
  message::token_entry& entry =
      *planned[FindBank(RateShard(organisation.name), now)].add_entries();
  entry.set_organisation(organisation.name);
  entry.set_deposit(wish.deposit);
  entry.set_wanted(asks ? wish.wanted : 0.0);
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
  transfers planned;
  AddEntry(planned, found->second, Account(organisation, now), now);
  SendTransfers(std::move(planned), now);
}

void rate_limiter::Tick(time_point now) {
  const catalog* const tables = environment_.tables();
  if (tables == nullptr) {
    return;
  }
  ranking_.SetHosts(environment_.hosts());
  transfers planned;
  for (const std::string& hub : environment_.contacts->TakeDueProbes(now)) {
    planned.try_emplace(hub);
  }
  for (std::pair<const std::string, local_rate_bucket>& entry : accounts_) {
    const auto found = tables->organisations.find(entry.first);
    if (found != tables->organisations.end()) {
      AddEntry(planned, found->second, entry.second, now);
    }
  }
  if (now >= idle_due_) {
    AddIdleShares(planned, *tables, now);
  }
  SendTransfers(std::move(planned), now);
}

void rate_limiter::CountShards(const catalog& tables) {
  if (counted_version_ == tables.version) {
    return;
  }
  counted_version_ = tables.version;
  shard_sizes_.fill(0);
  for (const std::pair<const std::string, catalog_organisation>& entry :
       tables.organisations) {
    ++shard_sizes_.at(RateShard(entry.first));
  }
}

void rate_limiter::AddIdleShares(transfers& planned, const catalog& tables,
                                 time_point now) {
  const duration interval = IdleShareInterval(HostCount());
  if (idle_since_ == time_point()) {
    idle_since_ = now - kStartupCredit;
  }
  if (idle_due_ == time_point()) {
    // Hosts that start together do not report together.
    const std::uint64_t place = RendezvousScore("idle", environment_.host);
    idle_due_ = now + duration(place % interval.count());
  } else {
    idle_due_ = now + interval;
  }
  CountShards(tables);
  std::array<std::uint32_t, kRateShardCount> used{};
  for (const std::pair<const std::string, local_rate_bucket>& entry :
       accounts_) {
    if (tables.organisations.contains(entry.first)) {
      ++used.at(RateShard(entry.first));
    }
  }
  const duration idle = std::chrono::duration_cast<duration>(now - idle_since_);
  std::array<message::idle_share*, kRateShardCount> shares{};
  for (std::uint32_t shard = 0; shard < kRateShardCount; ++shard) {
    if (shard_sizes_.at(shard) == used.at(shard)) {
      continue;
    }
    message::idle_share& share = *planned[FindBank(shard, now)].mutable_idle();
    share.set_shards(share.shards() | std::uint64_t{1} << shard);
    share.set_time_us(static_cast<std::uint64_t>(idle.count()));
    share.set_hosts(HostCount());
    shares.at(shard) = &share;
  }
  for (const std::pair<const std::string, local_rate_bucket>& entry :
       accounts_) {
    message::idle_share* const share = shares.at(RateShard(entry.first));
    if (share != nullptr) {
      share->add_used(entry.first);
    }
  }
  idle_since_ = now;
  CloseIdleAccounts(planned, tables, now);
}

void rate_limiter::CloseIdleAccounts(transfers& planned, const catalog& tables,
                                     time_point now) {
  for (auto each = accounts_.begin(); each != accounts_.end();) {
    local_rate_bucket& account = each->second;
    if (!IsIdle(account, now)) {
      ++each;
      continue;
    }
    const auto found = tables.organisations.find(each->first);
    if (found != tables.organisations.end()) {
      RefillLocalBucket(account, LimitOf(found->second), HostCount(), now);
      message::token_entry& entry =
          *planned[FindBank(RateShard(each->first), now)].add_entries();
      entry.set_organisation(each->first);
      entry.set_deposit(account.level);
    }
    urgent_at_.erase(each->first);
    each = accounts_.erase(each);
  }
}

void rate_limiter::SendTransfers(transfers planned, time_point now) {
  for (std::pair<const std::string, message::token_transfer>& entry : planned) {
    if (entry.first == environment_.host) {
      HandleAnswer(Serve(entry.second));
      continue;
    }
    if (WantsAnswer(entry.second)) {
      environment_.contacts->RecordQuery(entry.first, now);
    }
    message::envelope envelope;
    *envelope.mutable_token_transfer() = std::move(entry.second);
    environment_.send(entry.first, std::move(envelope));
  }
}

shared_rate_bucket& rate_limiter::CreditedBank(
    const catalog_organisation& organisation) {
  shared_rate_bucket& bank = banks_[organisation.name];
  const rate_limit limit = LimitOf(organisation);
  share_clock& clock = clocks_.at(RateShard(organisation.name));
  RecordMessage(clock, monotonic_clock::now());
  RefillSharedBucket(bank, clock, limit,
                     SharedBucketCapacity(limit, HostCount()));
  return bank;
}

void rate_limiter::TakeIdleShare(const message::idle_share& idle,
                                 const catalog& tables) {
  if (idle.hosts() == 0) {
    Log(log_level::kWarning, "idle_share_unreadable", {});
    return;
  }
  std::vector<std::string> used;
  for (const std::string& name : idle.used()) {
    const auto found = tables.organisations.find(name);
    if (found != tables.organisations.end()) {
      CreditedBank(found->second);
      used.push_back(name);
    }
  }
  const duration time(static_cast<std::int64_t>(std::min<std::uint64_t>(
      idle.time_us(),
      static_cast<std::uint64_t>(kMaxIdleTimePerMessage.count()))));
  for (std::uint32_t shard = 0; shard < kRateShardCount; ++shard) {
    if ((idle.shards() >> shard & 1U) != 0) {
      RecordMessage(clocks_.at(shard), monotonic_clock::now());
      AddIdleTime(clocks_.at(shard), time, idle.hosts());
    }
  }
  for (const std::string& name : used) {
    SkipIdleTime(banks_[name], clocks_.at(RateShard(name)));
  }
}

message::token_answer rate_limiter::Serve(
    const message::token_transfer& transfer) {
  message::token_answer answer;
  const catalog* const tables = environment_.tables();
  if (tables == nullptr) {
    return answer;
  }
  if (transfer.has_idle()) {
    TakeIdleShare(transfer.idle(), *tables);
  }
  for (const message::token_entry& entry : transfer.entries()) {
    const auto found = tables->organisations.find(entry.organisation());
    if (found == tables->organisations.end()) {
      continue;
    }
    const double tokens =
        ServeTransfer(CreditedBank(found->second),
                      SharedBucketCapacity(LimitOf(found->second), HostCount()),
                      {entry.deposit(), entry.wanted()});
    if (entry.wanted() > 0.0) {
      message::token_given& given = *answer.add_given();
      given.set_organisation(entry.organisation());
      given.set_tokens(tokens);
    }
  }
  return answer;
}

std::optional<message::token_answer> rate_limiter::HandleTransfer(
    const message::token_transfer& transfer) {
  message::token_answer answer = Serve(transfer);
  return WantsAnswer(transfer) ? std::optional(std::move(answer))
                               : std::nullopt;
}

void rate_limiter::HandleAnswer(const message::token_answer& answer) {
  const time_point now = monotonic_clock::now();
  if (answer.given().empty()) {
    return;
  }
  for (const message::token_given& given : answer.given()) {
    local_rate_bucket& account = Account(given.organisation(), now);
    account.level += given.tokens();
    if (given.tokens() < 1.0) {
      account.shared_bucket_empty_until = now + kEmptyTime;
    }
  }
  changed_.NotifyAll();
}

}  // namespace sassafraswick
