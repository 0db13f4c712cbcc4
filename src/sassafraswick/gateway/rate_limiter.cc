#include "sassafraswick/gateway/rate_limiter.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Minimum interval between token requests on behalf of waiting operations.
constexpr duration kMinTokenRequestInterval = std::chrono::milliseconds(15);
/// Time for which a shared bucket that gave less than one token is assumed to
/// be empty.
constexpr duration kSharedBucketEmptyTime = std::chrono::milliseconds(60);

/// Number of hosts assumed while the actual number is unknown: the largest
/// fleet that the design supports, so that the limits are not exceeded.
constexpr std::uint32_t kAssumedHostCount = 1200;

/// Returns whether a transfer needs a response. Deposits alone do not. Probes
/// and idle shares do, because the response shows that the host of the shared
/// bucket is alive.
bool NeedsResponse(const message::token_transfer& transfer) {
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
                           rate_limiter_environment environment)
    : environment_(std::move(environment)),
      tokens_received_(executor),
      idle_since_(monotonic_clock::now()) {}

std::uint32_t rate_limiter::HostCount() const {
  const std::uint32_t host_count = environment_.host_count();
  return host_count == 0 ? kAssumedHostCount : host_count;
}

std::string rate_limiter::FindSharedBucketHost(std::uint32_t shard,
                                               time_point now) {
  const std::string responsive_hub = environment_.hubs->FirstResponsive(
      ranking_.RankedHubs("shard/" + std::to_string(shard)), now);
  return responsive_hub.empty() ? environment_.host : responsive_hub;
}

local_rate_bucket& rate_limiter::LocalBucket(const std::string& organisation) {
  const std::pair<std::map<std::string, local_rate_bucket>::iterator, bool>
      inserted = local_buckets_.try_emplace(organisation);
  if (inserted.second) {
    inserted.first->second.refilled_at = idle_since_;
  }
  return inserted.first->second;
}

bool rate_limiter::TryAdmit(const catalog_organisation& organisation) {
  const time_point now = monotonic_clock::now();
  local_rate_bucket& local_bucket = LocalBucket(organisation.name);
  RefillLocalBucket(local_bucket, LimitOf(organisation), HostCount(), now);
  return TrySpendToken(local_bucket);
}

boost::asio::awaitable<admission_result> rate_limiter::Admit(
    catalog_organisation organisation, duration max_wait) {
  const time_point deadline = monotonic_clock::now() + max_wait;
  local_rate_bucket& local_bucket = LocalBucket(organisation.name);
  RecordDemand(local_bucket, monotonic_clock::now());
  admission_result admission;
  bool waiting = false;
  while (true) {
    const time_point now = monotonic_clock::now();
    RefillLocalBucket(local_bucket, LimitOf(organisation), HostCount(), now);
    admission.admitted = TrySpendToken(local_bucket);
    const duration own_token_delay =
        TimeToNextToken(local_bucket, LimitOf(organisation), HostCount());
    const bool cannot_admit_in_time =
        now < local_bucket.shared_bucket_empty_until &&
        now + own_token_delay * (local_bucket.waiting + 1) > deadline;
    if (admission.admitted || cannot_admit_in_time || now >= deadline) {
      admission.retry_after = std::min(
          own_token_delay * (local_bucket.waiting + 1),
          EstimatedRetryDelay(LimitOf(organisation), local_bucket.waiting));
      break;
    }
    if (!waiting) {
      waiting = true;
      ++local_bucket.waiting;
    }
    if (now >= local_bucket.shared_bucket_empty_until) {
      RequestTokens(organisation.name, now);
    }
    const duration left = std::chrono::duration_cast<duration>(deadline - now);
    co_await tokens_received_.Wait(
        std::min(left, std::max(own_token_delay, kMinTokenRequestInterval)));
  }
  if (waiting) {
    --local_bucket.waiting;
  }
  co_return admission;
}

void rate_limiter::Refund(const std::string& organisation) {
  RefundToken(LocalBucket(organisation));
}

void rate_limiter::AddEntry(transfers& planned,
                            const catalog_organisation& organisation,
                            local_rate_bucket& local_bucket, time_point now) {
  const token_transfer planned_transfer =
      PlanTransfer(local_bucket, LimitOf(organisation), HostCount(), now);
  const bool requests_tokens = planned_transfer.wanted > 0.0 &&
                               now >= local_bucket.shared_bucket_empty_until;
  if (planned_transfer.deposit <= 0.0 && !requests_tokens) {
    return;
  }
  message::token_entry& entry =
      *planned[FindSharedBucketHost(RateShard(organisation.name), now)]
           .add_entries();
  entry.set_organisation(organisation.name);
  entry.set_deposit(planned_transfer.deposit);
  entry.set_wanted(requests_tokens ? planned_transfer.wanted : 0.0);
}

void rate_limiter::RequestTokens(const std::string& organisation,
                                 time_point now) {
  const catalog* const current_catalog = environment_.current_catalog();
  time_point& last = last_token_request_[organisation];
  if (current_catalog == nullptr || now - last < kMinTokenRequestInterval) {
    return;
  }
  const auto found = current_catalog->organisations.find(organisation);
  if (found == current_catalog->organisations.end()) {
    return;
  }
  last = now;
  ranking_.SetHosts(environment_.hosts(), environment_.cores());
  transfers planned;
  AddEntry(planned, found->second, LocalBucket(organisation), now);
  SendTransfers(std::move(planned), now);
}

void rate_limiter::RunScheduledExchange(time_point now) {
  const catalog* const current_catalog = environment_.current_catalog();
  if (current_catalog == nullptr) {
    return;
  }
  ranking_.SetHosts(environment_.hosts(), environment_.cores());
  transfers planned;
  for (const std::string& hub : environment_.hubs->TakeDueProbes(now)) {
    planned.try_emplace(hub);
  }
  for (std::pair<const std::string, local_rate_bucket>& entry :
       local_buckets_) {
    const auto found = current_catalog->organisations.find(entry.first);
    if (found != current_catalog->organisations.end()) {
      AddEntry(planned, found->second, entry.second, now);
    }
  }
  if (now >= idle_report_due_) {
    AddIdleShares(planned, *current_catalog, now);
  }
  SendTransfers(std::move(planned), now);
}

void rate_limiter::UpdateShardSizes(const catalog& current_catalog) {
  if (shard_sizes_version_ == current_catalog.version) {
    return;
  }
  shard_sizes_version_ = current_catalog.version;
  shard_sizes_.fill(0);
  for (const std::pair<const std::string, catalog_organisation>& entry :
       current_catalog.organisations) {
    ++shard_sizes_.at(RateShard(entry.first));
  }
}

void rate_limiter::AddIdleShares(transfers& planned,
                                 const catalog& current_catalog,
                                 time_point now) {
  const duration interval = IdleShareInterval(HostCount());
  if (idle_report_due_ == time_point()) {
    idle_report_due_ =
        now + FirstReportDelay(RendezvousScore("idle", environment_.host));
  } else {
    idle_report_due_ = now + interval;
  }
  UpdateShardSizes(current_catalog);
  std::array<std::uint32_t, kRateShardCount> used{};
  for (const std::pair<const std::string, local_rate_bucket>& entry :
       local_buckets_) {
    if (current_catalog.organisations.contains(entry.first)) {
      ++used.at(RateShard(entry.first));
    }
  }
  const duration idle = std::chrono::duration_cast<duration>(now - idle_since_);
  std::array<message::idle_share*, kRateShardCount> shares{};
  for (std::uint32_t shard = 0; shard < kRateShardCount; ++shard) {
    if (shard_sizes_.at(shard) == used.at(shard)) {
      continue;
    }
    message::idle_share& share =
        *planned[FindSharedBucketHost(shard, now)].mutable_idle();
    share.set_shards(share.shards() | std::uint64_t{1} << shard);
    share.set_time_us(static_cast<std::uint64_t>(idle.count()));
    share.set_hosts(HostCount());
    shares.at(shard) = &share;
  }
  for (const std::pair<const std::string, local_rate_bucket>& entry :
       local_buckets_) {
    message::idle_share* const share = shares.at(RateShard(entry.first));
    if (share != nullptr) {
      share->add_used(entry.first);
    }
  }
  idle_since_ = now;
  CloseIdleBuckets(planned, current_catalog, now);
}

void rate_limiter::CloseIdleBuckets(transfers& planned,
                                    const catalog& current_catalog,
                                    time_point now) {
  for (auto each = local_buckets_.begin(); each != local_buckets_.end();) {
    local_rate_bucket& local_bucket = each->second;
    if (!IsIdle(local_bucket, now)) {
      ++each;
      continue;
    }
    const auto found = current_catalog.organisations.find(each->first);
    if (found != current_catalog.organisations.end()) {
      RefillLocalBucket(local_bucket, LimitOf(found->second), HostCount(), now);
      message::token_entry& entry =
          *planned[FindSharedBucketHost(RateShard(each->first), now)]
               .add_entries();
      entry.set_organisation(each->first);
      entry.set_deposit(local_bucket.level);
    }
    last_token_request_.erase(each->first);
    each = local_buckets_.erase(each);
  }
}

void rate_limiter::SendTransfers(transfers planned, time_point now) {
  for (std::pair<const std::string, message::token_transfer>& entry : planned) {
    if (entry.first == environment_.host) {
      HandleAnswer(ApplyTransfer(entry.second));
      continue;
    }
    if (NeedsResponse(entry.second)) {
      environment_.hubs->RecordRequest(entry.first, now);
    }
    message::envelope envelope;
    *envelope.mutable_token_transfer() = std::move(entry.second);
    environment_.send(entry.first, std::move(envelope));
  }
}

shared_rate_bucket& rate_limiter::RefilledSharedBucket(
    const catalog_organisation& organisation) {
  shared_rate_bucket& shared_bucket = shared_buckets_[organisation.name];
  const rate_limit limit = LimitOf(organisation);
  share_clock& clock = clocks_.at(RateShard(organisation.name));
  RecordMessage(clock, monotonic_clock::now());
  RefillSharedBucket(shared_bucket, clock, limit,
                     SharedBucketCapacity(limit, HostCount()));
  return shared_bucket;
}

void rate_limiter::CreditIdleShare(const message::idle_share& idle,
                                   const catalog& current_catalog) {
  if (idle.hosts() == 0) {
    Log(log_level::kWarning, "idle_share_unreadable", {});
    return;
  }
  std::vector<std::string> used;
  for (const std::string& name : idle.used()) {
    const auto found = current_catalog.organisations.find(name);
    if (found != current_catalog.organisations.end()) {
      RefilledSharedBucket(found->second);
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
    SkipIdleTime(shared_buckets_[name], clocks_.at(RateShard(name)));
  }
}

message::token_answer rate_limiter::ApplyTransfer(
    const message::token_transfer& transfer) {
  message::token_answer answer;
  const catalog* const current_catalog = environment_.current_catalog();
  if (current_catalog == nullptr) {
    return answer;
  }
  if (transfer.has_idle()) {
    CreditIdleShare(transfer.idle(), *current_catalog);
  }
  for (const message::token_entry& entry : transfer.entries()) {
    const auto found =
        current_catalog->organisations.find(entry.organisation());
    if (found == current_catalog->organisations.end()) {
      continue;
    }
    const double tokens =
        ServeTransfer(RefilledSharedBucket(found->second),
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
  message::token_answer answer = ApplyTransfer(transfer);
  return NeedsResponse(transfer) ? std::optional(std::move(answer))
                                 : std::nullopt;
}

void rate_limiter::HandleAnswer(const message::token_answer& answer) {
  const time_point now = monotonic_clock::now();
  if (answer.given().empty()) {
    return;
  }
  for (const message::token_given& given : answer.given()) {
    local_rate_bucket& local_bucket = LocalBucket(given.organisation());
    local_bucket.level += given.tokens();
    if (given.tokens() < 1.0) {
      local_bucket.shared_bucket_empty_until = now + kSharedBucketEmptyTime;
    }
  }
  tokens_received_.NotifyAll();
}

}  // namespace sassafraswick
