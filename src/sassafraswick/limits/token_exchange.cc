#include "sassafraswick/limits/token_exchange.h"

#include <algorithm>
#include <cmath>
namespace sassafraswick {
namespace {

/// Demand, in tokens a second, below which no tokens are held for it.
constexpr double kLeastDemand = 0.05;
/// Time over which the demand is smoothed.
constexpr double kDemandSeconds = 1.0;
/// Part of the burst that may lie with the hosts; the rest may lie with the
/// bank.
constexpr double kHostPart = 0.5;
/// Smallest deposit worth a message, in tokens, and as a part of a host's share
/// of the burst.
constexpr double kLeastDeposit = 0.5;
constexpr double kDepositPart = 0.25;

double Seconds(boot_clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

double ShareOfRate(const rate_limit& limit, std::uint32_t hosts) {
  return static_cast<double>(limit.rate) / std::max<std::uint32_t>(hosts, 1);
}

double OwnCap(const rate_limit& limit, std::uint32_t hosts) {
  return kHostPart * limit.burst / std::max<std::uint32_t>(hosts, 1);
}

/// Tokens worth holding: those for the expected demand, as many as its square
/// root for chance, and one for the next request, unless so many hosts share
/// the burst that one each would be more than it.
double Prefetch(const token_account& account, const rate_limit& limit,
                std::uint32_t hosts) {
  if (account.demand < kLeastDemand) {
    return 0.0;
  }
  const double expected = account.demand * Seconds(kPrefetch);
  const double spare = std::min(1.0, 2.0 * OwnCap(limit, hosts));
  return expected + std::sqrt(expected) + spare;
}

double DepositQuantum(const rate_limit& limit, std::uint32_t hosts) {
  // Large fleets deposit less than half a token: one each would be more than
  // the burst.
  const double cap = OwnCap(limit, hosts);
  return std::max(std::min(kLeastDeposit, cap), kDepositPart * cap);
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
    account.refilled_at = now - kStartCredit;
  }
  const double made =
      Seconds(now - account.refilled_at) * ShareOfRate(limit, hosts);
  account.refilled_at = now;
  // Room for what is kept and for one deposit, so that no token is lost between
  // two exchanges.
  const double cap =
      std::max(OwnCap(limit, hosts), Prefetch(account, limit, hosts) +
                                         2.0 * DepositQuantum(limit, hosts));
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
  const double prefetch = Prefetch(account, limit, hosts);
  token_transfer transfer;
  const double surplus = account.level - prefetch - account.waiting;
  if (surplus < 0.0) {
    transfer.wanted = std::ceil(-surplus);
  } else if (surplus >= DepositQuantum(limit, hosts)) {
    transfer.deposit = surplus;
    account.level -= surplus;
  }
  return transfer;
}

double BankCap(const rate_limit& limit, std::uint32_t hosts) {
  const double part = hosts < kWholeBurstFleet ? 1.0 - kHostPart : 1.0;
  return part * limit.burst;
}

double ServeTransfer(token_bank& bank, double cap,
                     const token_transfer& transfer) {
  AddToBank(bank, cap, transfer.deposit);
  const double given =
      std::min(std::max(transfer.wanted, 0.0), std::floor(bank.level));
  bank.level -= given;
  return given;
}

void AddToBank(token_bank& bank, double cap, double tokens) {
  bank.level = std::min(cap, bank.level + std::max(tokens, 0.0));
}

bool IsIdle(const token_account& account, time_point now) {
  const double elapsed = Seconds(now - account.demand_at);
  return account.waiting == 0 &&
         account.demand * std::exp(-std::max(elapsed, 0.0) / kDemandSeconds) <
             kLeastDemand;
}

duration TimeToReturn(const rate_limit& limit, std::uint32_t ahead) {
  const double rate = std::max(static_cast<double>(limit.rate), 0.001);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((ahead + 1.0) / rate));
}

duration TimeToToken(const token_account& account, const rate_limit& limit,
                     std::uint32_t hosts) {
  const double rate = std::max(ShareOfRate(limit, hosts), 0.001);
  const double missing = std::max(0.0, 1.0 - account.level);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / rate));
}

}  // namespace sassafraswick
