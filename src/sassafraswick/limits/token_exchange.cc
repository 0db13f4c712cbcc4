#include "sassafraswick/limits/token_exchange.h"

#include <algorithm>
#include <cmath>

namespace sassafraswick {
namespace {

/// Time over which the demand is smoothed.
constexpr double kDemandSeconds = 1.0;
/// Part of the burst that may lie with the hosts; the rest may lie with the
/// bank.
constexpr double kHostPart = 0.5;
/// Tokens above this multiple of the prefetch are deposited.
constexpr double kDepositAbove = 2.0;

double Seconds(boot_clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

double ShareOfRate(const rate_limit& limit, std::uint32_t hosts) {
  return static_cast<double>(limit.rate) / std::max<std::uint32_t>(hosts, 1);
}

double OwnCap(const rate_limit& limit, std::uint32_t hosts) {
  return kHostPart * limit.burst / std::max<std::uint32_t>(hosts, 1);
}

/// Lets the smoothed demand fade.
void DecayDemand(token_account& account, time_point now) {
  const double elapsed = Seconds(now - account.demand_at);
  account.demand *= std::exp(-std::max(elapsed, 0.0) / kDemandSeconds);
  account.demand_at = now;
}

}  // namespace

void RefillAccount(token_account& account, const rate_limit& limit,
                   std::uint32_t hosts, time_point now) {
  if (account.refilled_at == time_point()) {
    account.refilled_at = now;
  }
  const double made =
      Seconds(now - account.refilled_at) * ShareOfRate(limit, hosts);
  account.refilled_at = now;
  const double cap = OwnCap(limit, hosts);
  if (account.level < cap) {
    account.level = std::min(cap, account.level + made);
  }
}

void RecordDemand(token_account& account, time_point now) {
  DecayDemand(account, now);
  account.demand += 1.0 / kDemandSeconds;
}

bool TrySpendToken(token_account& account) {
  if (account.level < 1.0) {
    return false;
  }
  account.level -= 1.0;
  return true;
}

void RefundToken(token_account& account) { account.level += 1.0; }

token_transfer PlanTransfer(token_account& account, const rate_limit& limit,
                            std::uint32_t hosts, time_point now) {
  RefillAccount(account, limit, hosts, now);
  DecayDemand(account, now);
  const double prefetch = account.demand * Seconds(kPrefetch);
  token_transfer transfer;
  const double low = prefetch + account.waiting;
  // Whole tokens are kept for a host with demand, fractions of one are not
  // worth a message.
  const double high =
      account.demand > 0.05 ? kDepositAbove * prefetch + 1.0 : 0.0;
  if (account.level < low) {
    transfer.wanted = std::ceil(low - account.level);
  } else if (account.level > high + 0.5 * OwnCap(limit, hosts)) {
    transfer.deposit = account.level - high;
    account.level = high;
  }
  return transfer;
}

double ServeTransfer(token_bank& bank, const rate_limit& limit,
                     const token_transfer& transfer) {
  const double cap = (1.0 - kHostPart) * limit.burst;
  bank.level = std::min(cap, bank.level + std::max(transfer.deposit, 0.0));
  const double given =
      std::min(std::max(transfer.wanted, 0.0), std::floor(bank.level));
  bank.level -= given;
  return given;
}

duration TimeToToken(const token_account& account, const rate_limit& limit,
                     std::uint32_t hosts) {
  const double rate = std::max(ShareOfRate(limit, hosts), 0.001);
  const double missing = std::max(0.0, 1.0 - account.level);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / rate));
}

}  // namespace sassafraswick
