#include "sassafraswick/limits/idle_share.h"

#include <xxhash.h>

#include <algorithm>

namespace sassafraswick {
namespace {

/// Interval a host of the fleet; at 100 hosts each bank hears 250 a second.
constexpr duration kIntervalPerHost = std::chrono::milliseconds(4);
/// Longest interval: the users' bursts are one second of the rate.
constexpr duration kLongestInterval = std::chrono::milliseconds(1000);

}  // namespace

std::uint32_t RateShard(std::string_view organisation) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(organisation.data(), organisation.size()) % kRateShards);
}

duration IdleShareInterval(std::uint32_t hosts) noexcept {
  return std::clamp(kIntervalPerHost * static_cast<std::int64_t>(hosts),
                    kExchangeInterval, kLongestInterval);
}

void AddIdleTime(share_clock& clock, duration time, std::uint32_t hosts) {
  const duration counted = std::clamp(time, duration::zero(), kMostIdleTime);
  clock.seconds += std::chrono::duration<double>(counted).count() /
                   std::max<std::uint32_t>(hosts, 1);
}

void NoteHeard(share_clock& clock, time_point now) noexcept {
  if (now - clock.heard_at > kBankSilence) {
    ++clock.term;
    clock.term_began_seconds = clock.seconds;
  }
  clock.heard_at = now;
}

void CreditBank(token_bank& bank, const share_clock& clock,
                const rate_limit& limit, double cap) {
  if (bank.credited_term != clock.term) {
    bank = token_bank{0.0, clock.term_began_seconds, clock.term};
  }
  const double made =
      (clock.seconds - bank.credited_seconds) * static_cast<double>(limit.rate);
  bank.credited_seconds = clock.seconds;
  AddToBank(bank, cap, made);
}

void SkipIdleTime(token_bank& bank, const share_clock& clock) noexcept {
  bank.credited_seconds = clock.seconds;
}

}  // namespace sassafraswick
