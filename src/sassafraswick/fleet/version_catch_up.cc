#include "sassafraswick/fleet/version_catch_up.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Records that may go out at once after a rest: the burst stays below 100 ms
/// of the share.
constexpr double kBurstSeconds = 0.1;
constexpr double kBitsPerByte = 8.0;
constexpr double kBitsPerMegabit = 1e6;

}  // namespace

catch_up_step version_catch_up::Next(std::uint64_t heard, std::uint64_t own,
                                     bool watches, time_point now) noexcept {
  const bool caught_up = own != own_ || own >= wanted_;
  wanted_ = std::max(wanted_, heard);
  if (heard <= own) {
    // Peers that are behind themselves do not end the pauses.
    return catch_up_step::kNone;
  }
  if (caught_up) {
    own_ = own;
    behind_since_ = now;
    ask_at_ = watches ? now + kWatchGrace : now;
    patience_ = kRecordPatience;
  }
  if (now - behind_since_ > kPeersFirst && now - read_at_ > kPeersFirst) {
    read_at_ = now;
    return catch_up_step::kReadStore;
  }
  if (now < ask_at_) {
    return catch_up_step::kNone;
  }
  ask_at_ = now + patience_;
  patience_ = std::min(patience_ * 2, kRecordPatienceLimit);
  return catch_up_step::kAskPeer;
}

void version_catch_up::NoteBusy(duration retry_after, time_point now) noexcept {
  ask_at_ = now + std::min(retry_after, kRecordPatienceLimit);
}

double record_pace::RecordsPerSecond(std::size_t bytes) const noexcept {
  const double record_bits =
      static_cast<double>(std::max<std::size_t>(bytes, 1)) * kBitsPerByte;
  return link_mbps_ * kBitsPerMegabit * kRecordShare / record_bits;
}

bool record_pace::TrySend(std::size_t bytes, time_point now) noexcept {
  const double rate = RecordsPerSecond(bytes);
  return TryTakeToken(tokens_, rate, std::max(1.0, rate * kBurstSeconds), now);
}

duration record_pace::RetryAfter(std::size_t bytes) const noexcept {
  const std::chrono::duration<double> each(1.0 / RecordsPerSecond(bytes));
  return std::chrono::duration_cast<duration>(each);
}

}  // namespace sassafraswick
