#include "sassafraswick/proxy/limit_service.h"

#include <algorithm>
#include <optional>

#include "sassafraswick/core/log.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Time after which an unanswered request is repeated.
constexpr duration kRequestLimit = std::chrono::milliseconds(60);
/// Rest of an organisation after which its unspent tokens go back.
constexpr duration kIdleReturn = std::chrono::milliseconds(150);
/// Time a statement may wait for a token that the grantor could not give.
constexpr duration kTokenPatience = std::chrono::milliseconds(150);
/// Least time between two requests that the grantor could not meet.
constexpr duration kScarceGap = std::chrono::milliseconds(10);
constexpr duration kCapacityRefresh = std::chrono::milliseconds(1000);
constexpr duration kCapacityUrgentGap = std::chrono::milliseconds(20);
/// Use of a resource is reported for that long after its last use.
constexpr duration kCapacityLinger = std::chrono::seconds(5);

std::string HostKey(const std::string& host, std::uint64_t boot) {
  return host + "/" + std::to_string(boot);
}

}  // namespace

limit_service::limit_service(asio::io_context& context,
                             limit_environment environment)
    : environment_(std::move(environment)), changed_(context.get_executor()) {}

asio::awaitable<admission> limit_service::Admit(std::string organisation,
                                                time_point deadline) {
  token_allowance& allowance = allowances_[organisation];
  const std::uint32_t shard = ShardOf(organisation);
  const time_point arrived = monotonic_clock::now();
  if (TrySpend(allowance, arrived)) {
    co_return admission{true, false, duration::zero()};
  }
  ++allowance.waiting;
  retry_after_[organisation] = duration::zero();
  admission outcome;
  std::optional<time_point> scarce_since;
  while (true) {
    const time_point now = monotonic_clock::now();
    if (exchanges_[shard].under_way == 0) {
      Ask(shard, now);
    }
    if (TrySpend(allowance, now)) {
      outcome.admitted = true;
      break;
    }
    const duration retry_after = retry_after_[organisation];
    const bool scarce = retry_after > duration::zero();
    if (scarce && !scarce_since.has_value()) {
      scarce_since = now;
    }
    if (now >= deadline || (scarce && now - *scarce_since > kTokenPatience)) {
      outcome.unanswered = !scarce;
      outcome.retry_after = std::max<duration>(retry_after, kScarceGap);
      break;
    }
    co_await changed_.Wait(kScarceGap);
  }
  --allowance.waiting;
  co_return outcome;
}

std::uint32_t limit_service::Connections(const std::string& resource,
                                         std::uint32_t held,
                                         std::uint32_t wanted,
                                         std::uint32_t fallback) {
  const time_point now = monotonic_clock::now();
  local_capacity& local = capacities_[resource];
  const bool changed = wanted > local.allowed || held > local.allowed;
  local.urgent =
      changed && (local.wanted != wanted || local.held != held || local.urgent);
  local.held = held;
  local.wanted = wanted;
  local.fallback = fallback;
  local.used_at = now;
  if (now < local.valid_until) {
    return local.allowed;
  }
  const bool never_heard = local.valid_until == time_point();
  return never_heard ? fallback : std::min(held, fallback);
}

bool limit_service::IsDue(std::uint32_t shard, time_point now) const {
  const shard_exchange& exchange = exchanges_[shard];
  if (exchange.under_way != 0 && now - exchange.sent_at < kRequestLimit) {
    return false;
  }
  for (const std::pair<const std::string, token_allowance>& entry :
       allowances_) {
    if (ShardOf(entry.first) != shard) {
      continue;
    }
    const token_allowance& allowance = entry.second;
    const std::uint64_t unspent = Unspent(allowance, now);
    const bool idle = now - allowance.used_at > kIdleReturn;
    const bool low = !idle && unspent * 2 < WantedTokens(allowance, now);
    const bool expiring =
        unspent > 0 && allowance.valid_until - now < kTokenLease / 2;
    if (allowance.waiting > 0 || low || expiring || (idle && unspent > 0)) {
      return true;
    }
  }
  const duration since_capacity =
      std::chrono::duration_cast<duration>(now - exchange.last_capacity_at);
  return std::any_of(
      capacities_.begin(), capacities_.end(),
      [&](const std::pair<const std::string, local_capacity>& entry) {
        return ShardOf(entry.first) == shard &&
               now - entry.second.used_at < kCapacityLinger &&
               since_capacity >= (entry.second.urgent ? kCapacityUrgentGap
                                                      : kCapacityRefresh);
      });
}

message::limit_request limit_service::MakeRequest(std::uint32_t shard,
                                                  time_point now) {
  message::limit_request request;
  request.set_shard(shard);
  request.set_epoch(shards_[shard].epoch);
  for (std::pair<const std::string, token_allowance>& entry : allowances_) {
    token_allowance& allowance = entry.second;
    if (ShardOf(entry.first) != shard) {
      continue;
    }
    const bool idle =
        allowance.waiting == 0 && now - allowance.used_at > kIdleReturn;
    if (idle && Unspent(allowance, now) == 0) {
      continue;
    }
    ExpireTokens(allowance, now);
    if (idle) {
      ReturnUnspent(allowance, now);
    }
    message::limit_need& need = *request.add_needs();
    need.set_organisation(entry.first);
    need.set_epoch(allowance.epoch);
    need.set_spent(allowance.spent);
    need.set_returned(allowance.returned);
    need.set_wanted(idle ? 0 : WantedTokens(allowance, now));
  }
  for (std::pair<const std::string, local_capacity>& entry : capacities_) {
    local_capacity& local = entry.second;
    if (ShardOf(entry.first) != shard ||
        now - local.used_at >= kCapacityLinger) {
      continue;
    }
    message::capacity_need& need = *request.add_capacities();
    need.set_resource(entry.first);
    need.set_held(local.held);
    need.set_wanted(local.wanted);
    need.set_allowed(now < local.valid_until ? local.allowed : local.held);
  }
  return request;
}

void limit_service::Ask(std::uint32_t shard, time_point now) {
  const grantor_shard& holder = shards_[shard];
  if (holder.host.empty()) {
    return;
  }
  message::limit_request request = MakeRequest(shard, now);
  shard_exchange& exchange = exchanges_[shard];
  exchange.under_way = next_request_++;
  exchange.sent_at = now;
  if (request.capacities_size() > 0) {
    exchange.last_capacity_at = now;
  }
  request.set_sent_stamp(exchange.under_way);
  if (holder.host == environment_.host) {
    HandleAnswer(Serve(HostKey(environment_.host, environment_.boot), request));
    return;
  }
  message::envelope envelope;
  *envelope.mutable_limit_request() = std::move(request);
  environment_.send(holder.host, std::move(envelope));
}

void limit_service::Tick(time_point now) {
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    if (IsDue(shard, now)) {
      Ask(shard, now);
    }
  }
}

bool limit_service::IsActive(time_point now) const {
  return std::any_of(
      allowances_.begin(), allowances_.end(),
      [now](const std::pair<const std::string, token_allowance>& entry) {
        return entry.second.waiting > 0 ||
               now - entry.second.used_at < kTokenLease;
      });
}

void limit_service::Activate(std::uint32_t shard, bool fresh,
                             grantor_epoch predecessor, duration wait,
                             time_point now) {
  granted_shard& granted = granting_[shard];
  granted = granted_shard();
  granted.fresh = fresh;
  const auto handover = handovers_.find(shard);
  if (handover != handovers_.end() && handover->second.epoch == predecessor) {
    granted.handed = std::move(handover->second.buckets);
    granted.handed_at = handover->second.received_at;
  }
  handovers_.erase(shard);
  shards_[shard].active_from = now + wait;
  Log(log_level::kInfo, "grantor_claimed",
      {{"shard", std::to_string(shard)},
       {"epoch", std::to_string(shards_[shard].epoch)},
       {"handed_buckets", std::to_string(granted.handed.size())}});
}

void limit_service::HandOverShards(time_point now) {
  const configuration* const version = environment_.tables();
  for (std::pair<const std::uint32_t, granted_shard>& entry : granting_) {
    const grantor_shard& shard = shards_[entry.first];
    const std::vector<std::string> order =
        GrantorOrder(entry.first, environment_.fleet());
    if (shard.host != environment_.host || order.empty() ||
        version == nullptr) {
      continue;
    }
    message::envelope envelope;
    message::shard_handover& handover = *envelope.mutable_shard_handover();
    handover.set_shard(entry.first);
    handover.set_epoch(shard.epoch);
    for (std::pair<const std::string, token_bucket>& bucket :
         entry.second.buckets) {
      const auto owner = version->tables.organisations.find(bucket.first);
      if (owner == version->tables.organisations.end()) {
        continue;
      }
      const handed_bucket handed = HandOver(
          bucket.second, {owner->second.rate, owner->second.burst}, now);
      message::handed_bucket& passed = *handover.add_buckets();
      passed.set_organisation(bucket.first);
      passed.set_level(handed.level);
      passed.set_outstanding(handed.outstanding);
    }
    environment_.send(order.front(), std::move(envelope));
  }
}

void limit_service::HandleHandover(const message::shard_handover& handover,
                                   time_point now) {
  pending_handover pending;
  pending.epoch = handover.epoch();
  pending.received_at = now;
  for (const message::handed_bucket& bucket : handover.buckets()) {
    pending.buckets[bucket.organisation()] = {bucket.level(),
                                              bucket.outstanding()};
  }
  handovers_[handover.shard()] = std::move(pending);
}

token_bucket& limit_service::FindBucket(std::uint32_t shard,
                                        const std::string& organisation,
                                        const rate_limit& limit) {
  granted_shard& granted = granting_[shard];
  const bool is_new = !granted.buckets.contains(organisation);
  token_bucket& bucket = granted.buckets[organisation];
  if (!is_new) {
    return bucket;
  }
  const time_point active_from = shards_[shard].active_from;
  const auto handed = granted.handed.find(organisation);
  if (handed != granted.handed.end()) {
    bucket =
        RestoreBucket(handed->second, limit, granted.handed_at, active_from);
  } else {
    bucket.level = granted.fresh ? limit.burst : 0.0;
    bucket.refilled_at = active_from;
  }
  return bucket;
}

void limit_service::HandleRequest(const std::string& from, std::uint64_t boot,
                                  const message::limit_request& request) {
  if (request.shard() >= kShardCount) {
    return;
  }
  message::envelope envelope;
  *envelope.mutable_limit_answer() = Serve(HostKey(from, boot), request);
  environment_.send(from, std::move(envelope));
}

message::limit_answer limit_service::Serve(
    const std::string& host, const message::limit_request& request) {
  const time_point now = monotonic_clock::now();
  const grantor_shard& shard = shards_[request.shard()];
  message::limit_answer answer;
  answer.set_shard(request.shard());
  answer.set_epoch(shard.epoch);
  answer.set_sent_stamp(request.sent_stamp());
  answer.set_grants(
      MayGrant(shard, environment_.fleet(), settings_, store_down_, now));
  if (answer.grants()) {
    ServeTokens(host, request, answer, now);
    ServeCapacities(host, request, answer, now);
  }
  return answer;
}

void limit_service::ServeTokens(const std::string& host,
                                const message::limit_request& request,
                                message::limit_answer& answer, time_point now) {
  const configuration* const version = environment_.tables();
  for (const message::limit_need& need : request.needs()) {
    const auto owner = version->tables.organisations.find(need.organisation());
    if (owner == version->tables.organisations.end()) {
      continue;
    }
    const rate_limit limit{owner->second.rate, owner->second.burst};
    token_bucket& bucket =
        FindBucket(request.shard(), need.organisation(), limit);
    const token_share share = Grant(
        bucket, limit, shards_[request.shard()].epoch, host,
        {need.epoch(), need.spent(), need.returned(), need.wanted()}, now);
    message::limit_share& given = *answer.add_shares();
    given.set_organisation(need.organisation());
    given.set_granted(share.granted);
    given.set_retry_after(
        static_cast<std::uint64_t>(share.retry_after.count()));
  }
}

std::uint32_t limit_service::TotalConnections(
    const std::string& resource) const {
  const configuration* const version = environment_.tables();
  if (version == nullptr) {
    return 0;
  }
  const std::string name = resource.substr(0, resource.find('/'));
  const auto found = version->tables.pools.find(name);
  if (found == version->tables.pools.end()) {
    return 0;
  }
  const std::uint32_t watching =
      static_cast<std::uint32_t>(LiveHosts(environment_.fleet()).size());
  return GrantableConnections(found->second.connections, watching);
}

void limit_service::ServeCapacities(const std::string& host,
                                    const message::limit_request& request,
                                    message::limit_answer& answer,
                                    time_point now) {
  granted_shard& granted = granting_[request.shard()];
  for (const message::capacity_need& need : request.capacities()) {
    message::capacity_share& share = *answer.add_capacities();
    share.set_resource(need.resource());
    share.set_allowed(GrantCapacity(
        granted.capacities[need.resource()], TotalConnections(need.resource()),
        host, {need.held(), need.wanted(), need.allowed()}, now));
  }
}

void limit_service::HandleAnswer(const message::limit_answer& answer) {
  if (answer.shard() >= kShardCount) {
    return;
  }
  shard_exchange& exchange = exchanges_[answer.shard()];
  if (exchange.under_way == 0 || exchange.under_way != answer.sent_stamp()) {
    return;
  }
  exchange.under_way = 0;
  if (!answer.grants() || answer.epoch() < shards_[answer.shard()].epoch) {
    return;
  }
  for (const message::limit_share& share : answer.shares()) {
    ApplyShare(allowances_[share.organisation()],
               {answer.epoch(), share.granted(), duration::zero()},
               exchange.sent_at);
    retry_after_[share.organisation()] =
        duration(static_cast<std::int64_t>(share.retry_after()));
  }
  for (const message::capacity_share& share : answer.capacities()) {
    local_capacity& local = capacities_[share.resource()];
    local.allowed = share.allowed();
    local.valid_until = exchange.sent_at + kCapacityLease;
    local.urgent = local.wanted > local.allowed;
  }
  changed_.NotifyAll();
}

}  // namespace sassafraswick
