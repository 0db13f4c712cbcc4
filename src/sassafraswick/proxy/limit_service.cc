#include "sassafraswick/proxy/limit_service.h"

#include <algorithm>
#include <optional>

#include "sassafraswick/core/log.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Time after which an unanswered request is sent again.
constexpr duration kRequestTimeout = std::chrono::milliseconds(60);
/// Idle time of an organisation after which its unspent tokens are returned.
constexpr duration kIdleReturnDelay = std::chrono::milliseconds(150);
/// Time for which a statement may wait once the grantor had no token for it.
constexpr duration kMaxTokenWait = std::chrono::milliseconds(150);
/// Time after which a waiting statement checks for a token again if no response
/// arrives earlier, and minimum retry delay reported to a caller.
constexpr duration kTokenRetryInterval = std::chrono::milliseconds(10);
/// Interval at which the connections of this host are reported to the grantors,
/// and minimum interval for those that are urgent.
constexpr duration kCapacityRefreshInterval = std::chrono::milliseconds(1000);
constexpr duration kMinUrgentCapacityInterval = std::chrono::milliseconds(20);
/// Time after its last use for which a resource is reported to its grantor.
constexpr duration kCapacityReportRetention = std::chrono::seconds(5);

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
  const std::uint32_t shard = GrantorShardOf(organisation);
  const time_point arrived = monotonic_clock::now();
  if (TrySpend(allowance, arrived)) {
    co_return admission{true, false, duration::zero()};
  }
  ++allowance.waiting;
  retry_after_[organisation] = duration::zero();
  admission outcome;
  std::optional<time_point> rate_exceeded_since;
  while (true) {
    const time_point now = monotonic_clock::now();
    if (exchanges_[shard].pending_request == 0) {
      SendRequest(shard, now);
    }
    if (TrySpend(allowance, now)) {
      outcome.admitted = true;
      break;
    }
    const duration retry_after = retry_after_[organisation];
    const bool rate_exceeded = retry_after > duration::zero();
    if (rate_exceeded && !rate_exceeded_since.has_value()) {
      rate_exceeded_since = now;
    }
    if (now >= deadline ||
        (rate_exceeded && now - *rate_exceeded_since > kMaxTokenWait)) {
      outcome.grantor_unresponsive = !rate_exceeded;
      outcome.retry_after =
          std::max<duration>(retry_after, kTokenRetryInterval);
      break;
    }
    co_await changed_.Wait(kTokenRetryInterval);
  }
  --allowance.waiting;
  co_return outcome;
}

std::uint32_t limit_service::UpdateConnections(const std::string& resource,
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
  const bool never_granted = local.valid_until == time_point();
  return never_granted ? fallback : std::min(held, fallback);
}

bool limit_service::IsRequestDue(std::uint32_t shard, time_point now) const {
  const shard_exchange& exchange = exchanges_[shard];
  if (exchange.pending_request != 0 &&
      now - exchange.sent_at < kRequestTimeout) {
    return false;
  }
  for (const std::pair<const std::string, token_allowance>& entry :
       allowances_) {
    if (GrantorShardOf(entry.first) != shard) {
      continue;
    }
    const token_allowance& allowance = entry.second;
    const std::uint64_t unspent = Unspent(allowance, now);
    const bool idle = now - allowance.used_at > kIdleReturnDelay;
    const bool below_half = !idle && unspent * 2 < WantedTokens(allowance, now);
    const bool expiring =
        unspent > 0 && allowance.valid_until - now < kTokenLease / 2;
    if (allowance.waiting > 0 || below_half || expiring ||
        (idle && unspent > 0)) {
      return true;
    }
  }
  const duration since_capacity =
      std::chrono::duration_cast<duration>(now - exchange.last_capacity_at);
  return std::any_of(
      capacities_.begin(), capacities_.end(),
      [&](const std::pair<const std::string, local_capacity>& entry) {
        return GrantorShardOf(entry.first) == shard &&
               now - entry.second.used_at < kCapacityReportRetention &&
               since_capacity >= (entry.second.urgent
                                      ? kMinUrgentCapacityInterval
                                      : kCapacityRefreshInterval);
      });
}

message::limit_request limit_service::MakeRequest(std::uint32_t shard,
                                                  time_point now) {
  message::limit_request request;
  request.set_shard(shard);
  request.set_epoch(shards_[shard].epoch);
  for (std::pair<const std::string, token_allowance>& entry : allowances_) {
    token_allowance& allowance = entry.second;
    if (GrantorShardOf(entry.first) != shard) {
      continue;
    }
    const bool idle =
        allowance.waiting == 0 && now - allowance.used_at > kIdleReturnDelay;
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
    if (GrantorShardOf(entry.first) != shard ||
        now - local.used_at >= kCapacityReportRetention) {
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

void limit_service::SendRequest(std::uint32_t shard, time_point now) {
  const grantor_shard& grantor = shards_[shard];
  if (grantor.host.empty()) {
    return;
  }
  message::limit_request request = MakeRequest(shard, now);
  shard_exchange& exchange = exchanges_[shard];
  exchange.pending_request = next_request_++;
  exchange.sent_at = now;
  if (request.capacities_size() > 0) {
    exchange.last_capacity_at = now;
  }
  request.set_sent_stamp(exchange.pending_request);
  if (grantor.host == environment_.host) {
    HandleAnswer(
        MakeAnswer(HostKey(environment_.host, environment_.boot), request));
    return;
  }
  message::envelope envelope;
  *envelope.mutable_limit_request() = std::move(request);
  environment_.send(grantor.host, std::move(envelope));
}

void limit_service::SendDueRequests(time_point now) {
  for (std::uint32_t shard = 0; shard < kGrantorShardCount; ++shard) {
    if (IsRequestDue(shard, now)) {
      SendRequest(shard, now);
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

void limit_service::StartGranting(std::uint32_t shard, bool first_claim,
                                  grantor_epoch predecessor, duration wait,
                                  time_point now) {
  granted_shard& granted = granting_[shard];
  granted = granted_shard();
  granted.first_claim = first_claim;
  const auto handover = handovers_.find(shard);
  if (handover != handovers_.end() && handover->second.epoch == predecessor) {
    granted.handed_over = std::move(handover->second.buckets);
    granted.handed_over_at = handover->second.received_at;
  }
  handovers_.erase(shard);
  shards_[shard].active_from = now + wait;
  Log(log_level::kInfo, "grantor_claimed",
      {{"shard", std::to_string(shard)},
       {"epoch", std::to_string(shards_[shard].epoch)},
       {"handed_buckets", std::to_string(granted.handed_over.size())}});
}

void limit_service::HandOverShards(time_point now) {
  const configuration* const current = environment_.current_configuration();
  for (std::pair<const std::uint32_t, granted_shard>& entry : granting_) {
    const grantor_shard& shard = shards_[entry.first];
    const std::vector<std::string> ranked_hosts =
        GrantorOrder(entry.first, environment_.fleet());
    if (shard.host != environment_.host || ranked_hosts.empty() ||
        current == nullptr) {
      continue;
    }
    message::envelope envelope;
    message::shard_handover& handover = *envelope.mutable_shard_handover();
    handover.set_shard(entry.first);
    handover.set_epoch(shard.epoch);
    for (std::pair<const std::string, token_bucket>& bucket :
         entry.second.buckets) {
      const auto owner = current->tables.organisations.find(bucket.first);
      if (owner == current->tables.organisations.end()) {
        continue;
      }
      const handed_bucket handed_over = HandOver(
          bucket.second, {owner->second.rate, owner->second.burst}, now);
      message::handed_bucket& encoded = *handover.add_buckets();
      encoded.set_organisation(bucket.first);
      encoded.set_level(handed_over.level);
      encoded.set_outstanding(handed_over.outstanding);
    }
    environment_.send(ranked_hosts.front(), std::move(envelope));
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
  const auto handed_over = granted.handed_over.find(organisation);
  if (handed_over != granted.handed_over.end()) {
    bucket = RestoreBucket(handed_over->second, limit, granted.handed_over_at,
                           active_from);
  } else {
    bucket.level = granted.first_claim ? limit.burst : 0.0;
    bucket.refilled_at = active_from;
  }
  return bucket;
}

void limit_service::HandleRequest(const std::string& from, std::uint64_t boot,
                                  const message::limit_request& request) {
  if (request.shard() >= kGrantorShardCount) {
    return;
  }
  message::envelope envelope;
  *envelope.mutable_limit_answer() = MakeAnswer(HostKey(from, boot), request);
  environment_.send(from, std::move(envelope));
}

message::limit_answer limit_service::MakeAnswer(
    const std::string& host, const message::limit_request& request) {
  const time_point now = monotonic_clock::now();
  const grantor_shard& shard = shards_[request.shard()];
  message::limit_answer answer;
  answer.set_shard(request.shard());
  answer.set_epoch(shard.epoch);
  answer.set_sent_stamp(request.sent_stamp());
  answer.set_grants(MayGrant(shard, environment_.fleet(), settings_,
                             store_unavailable_, now));
  if (answer.grants()) {
    GrantTokens(host, request, answer, now);
    GrantCapacities(host, request, answer, now);
  }
  return answer;
}

void limit_service::GrantTokens(const std::string& host,
                                const message::limit_request& request,
                                message::limit_answer& answer, time_point now) {
  const configuration* const current = environment_.current_configuration();
  for (const message::limit_need& need : request.needs()) {
    const auto owner = current->tables.organisations.find(need.organisation());
    if (owner == current->tables.organisations.end()) {
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
  const configuration* const current = environment_.current_configuration();
  if (current == nullptr) {
    return 0;
  }
  const std::string name = resource.substr(0, resource.find('/'));
  const auto found = current->tables.pools.find(name);
  if (found == current->tables.pools.end()) {
    return 0;
  }
  const std::uint32_t live_hosts =
      static_cast<std::uint32_t>(LiveHosts(environment_.fleet()).size());
  return GrantableConnections(found->second.connections, live_hosts);
}

void limit_service::GrantCapacities(const std::string& host,
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
  if (answer.shard() >= kGrantorShardCount) {
    return;
  }
  shard_exchange& exchange = exchanges_[answer.shard()];
  if (exchange.pending_request == 0 ||
      exchange.pending_request != answer.sent_stamp()) {
    return;
  }
  exchange.pending_request = 0;
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
