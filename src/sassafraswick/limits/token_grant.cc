#include "sassafraswick/limits/token_grant.h"

#include <algorithm>
#include <cmath>

namespace sassafraswick {
namespace {

/// Time ahead for whose expected demand a host holds tokens.
constexpr double kPrefetchHorizonSeconds = 0.04;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 0.25;
/// Time for which a host's ledger is kept after it has expired.
constexpr duration kLedgerRetention = std::chrono::minutes(1);

double Seconds(time_point::duration span) {
  return std::chrono::duration<double>(span).count();
}

std::uint64_t OutstandingOf(const host_ledger& ledger) {
  return ledger.granted - ledger.spent - ledger.returned;
}

/// Counts unreported tokens of expired ledgers as returned: they have expired
/// at the hosts as well.
void ExpireLedgers(token_bucket& bucket, time_point now) {
  for (std::pair<const std::string, host_ledger>& entry : bucket.hosts) {
    host_ledger& ledger = entry.second;
    if (ledger.valid_until <= now) {
      ledger.returned = ledger.granted - ledger.spent;
    }
  }
  std::erase_if(bucket.hosts,
                [now](const std::pair<const std::string, host_ledger>& entry) {
                  return entry.second.valid_until + kLedgerRetention <= now;
                });
}

/// Finds or creates a host's ledger. A ledger that was dropped resumes from the
/// host's own totals.
host_ledger& FindLedger(token_bucket& bucket, const std::string& host,
                        grantor_epoch epoch, const token_need& need) {
  const bool is_new = !bucket.hosts.contains(host);
  host_ledger& ledger = bucket.hosts[host];
  if (is_new && need.epoch == epoch) {
    ledger.granted = need.spent + need.returned;
    ledger.spent = need.spent;
    ledger.returned = need.returned;
  }
  return ledger;
}

void Refill(token_bucket& bucket, const rate_limit& limit, time_point now) {
  const double accrued =
      Seconds(now - bucket.refilled_at) * static_cast<double>(limit.rate);
  const double headroom = static_cast<double>(limit.burst) -
                          static_cast<double>(Outstanding(bucket));
  bucket.level =
      std::min(bucket.level + std::max(accrued, 0.0), std::max(headroom, 0.0));
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

/// Records a host's totals in its ledger and puts returned tokens back into the
/// bucket. Totals that exceed the grants are ignored.
void RecordUsage(token_bucket& bucket, host_ledger& ledger,
                 const token_need& need) {
  const std::uint64_t returned = std::max(ledger.returned, need.returned);
  const std::uint64_t spent = std::max(ledger.spent, need.spent);
  if (spent + returned <= ledger.granted) {
    bucket.level += static_cast<double>(returned - ledger.returned);
    ledger.returned = returned;
    ledger.spent = spent;
  }
}

void DecayDemand(token_allowance& allowance, time_point now) {
  const double elapsed = Seconds(now - allowance.demand_at);
  allowance.demand *=
      std::exp(-std::max(elapsed, 0.0) / kDemandTimeConstantSeconds);
  allowance.demand_at = now;
}

}  // namespace

std::uint64_t Outstanding(const token_bucket& bucket) {
  std::uint64_t total = 0;
  for (const std::pair<const std::string, host_ledger>& entry : bucket.hosts) {
    total += OutstandingOf(entry.second);
  }
  return total;
}

token_share Grant(token_bucket& bucket, const rate_limit& limit,
                  grantor_epoch epoch, const std::string& host,
                  const token_need& need, time_point now) {
  // Outstanding tokens count against the burst up to this moment, so the bucket
  // is refilled before expired and returned tokens are recorded.
  Refill(bucket, limit, now);
  ExpireLedgers(bucket, now);
  host_ledger& ledger = FindLedger(bucket, host, epoch, need);
  if (need.epoch == epoch) {
    RecordUsage(bucket, ledger, need);
  }
  ledger.valid_until = now + kTokenLease + kTokenLeaseMargin;
  const std::uint64_t held = OutstandingOf(ledger);
  const std::uint64_t missing = need.wanted > held ? need.wanted - held : 0;
  const std::uint64_t given =
      std::min(missing, static_cast<std::uint64_t>(bucket.level));
  bucket.level -= static_cast<double>(given);
  ledger.granted += given;
  token_share share{epoch, ledger.granted, duration::zero()};
  if (held + given == 0 && missing > 0) {
    const double wait = (1.0 - bucket.level) / std::max(limit.rate, 1U);
    share.retry_after = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(wait, 0.001)));
  }
  return share;
}

handed_bucket HandOver(token_bucket& bucket, const rate_limit& limit,
                       time_point now) {
  Refill(bucket, limit, now);
  return {bucket.level, Outstanding(bucket)};
}

token_bucket RestoreBucket(const handed_bucket& handed, const rate_limit& limit,
                           time_point received_at, time_point now) {
  // Outstanding tokens may have been spent at the last moment, so they count
  // against the burst until now.
  const double headroom = static_cast<double>(limit.burst) -
                          static_cast<double>(handed.outstanding);
  const double accrued =
      Seconds(now - received_at) * static_cast<double>(limit.rate);
  token_bucket bucket;
  bucket.level =
      std::min(handed.level + std::max(accrued, 0.0), std::max(headroom, 0.0));
  bucket.refilled_at = now;
  return bucket;
}

std::uint64_t Unspent(const token_allowance& allowance, time_point now) {
  return now < allowance.valid_until
             ? allowance.granted - allowance.spent - allowance.returned
             : 0;
}

bool TrySpend(token_allowance& allowance, time_point now) {
  allowance.used_at = now;
  if (Unspent(allowance, now) == 0) {
    return false;
  }
  DecayDemand(allowance, now);
  allowance.demand += 1.0 / kDemandTimeConstantSeconds;
  ++allowance.spent;
  return true;
}

std::uint64_t WantedTokens(const token_allowance& allowance, time_point now) {
  token_allowance decayed = allowance;
  DecayDemand(decayed, now);
  const double ahead = std::ceil(decayed.demand * kPrefetchHorizonSeconds);
  return allowance.waiting + static_cast<std::uint64_t>(ahead);
}

void ExpireTokens(token_allowance& allowance, time_point now) {
  if (now >= allowance.valid_until) {
    allowance.returned = allowance.granted - allowance.spent;
  }
}

void ReturnUnspent(token_allowance& allowance, time_point now) {
  allowance.returned += Unspent(allowance, now);
}

void ApplyShare(token_allowance& allowance, const token_share& share,
                time_point requested_at) {
  if (share.epoch < allowance.epoch) {
    return;
  }
  if (share.epoch > allowance.epoch) {
    allowance.epoch = share.epoch;
    allowance.granted = 0;
    allowance.spent = 0;
    allowance.returned = 0;
    allowance.valid_until = time_point();
  }
  allowance.granted = std::max(allowance.granted, share.granted);
  allowance.valid_until =
      std::max(allowance.valid_until, requested_at + kTokenLease);
}

}  // namespace sassafraswick
