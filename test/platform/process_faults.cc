#include "test/platform/process_faults.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace test_platform {
namespace {

using std::chrono::milliseconds;

/// Returns whether another instance has all entries of an instance's log. Where
/// none has, the end of the log would lose writes whoever is promoted.
bool IsCopied(standin_platform& platform, std::size_t index) {
  const std::vector<log_entry> log = platform.Group().Log(index);
  for (std::size_t i = 0; i < platform.Group().Size(); ++i) {
    const std::vector<log_entry> other = platform.Group().Log(i);
    const auto same = [](const log_entry& left, const log_entry& right) {
      return left.term == right.term && left.item == right.item &&
             left.data == right.data;
    };
    if (i != index && other.size() >= log.size() &&
        std::equal(log.begin(), log.end(), other.begin(), same)) {
      return true;
    }
  }
  return false;
}

/// Crashes instances, which are back under new identifiers with their logs.
std::function<void()> CrashAndRename(standin_platform& platform,
                                     const std::vector<std::size_t>& indexes) {
  for (const std::size_t index : indexes) {
    platform.Crash(index);
  }
  return [&platform, indexes] {
    for (const std::size_t index : indexes) {
      platform.Restart(index, instance_start::kNewId);
    }
  };
}

std::function<void()> RenameOne(standin_platform& platform,
                                std::mt19937_64& random) {
  return CrashAndRename(platform, {random() % platform.Group().Size()});
}

std::function<void()> RenameSeveral(standin_platform& platform,
                                    std::mt19937_64& random) {
  const std::size_t size = platform.Group().Size();
  const std::size_t first = random() % size;
  std::vector<std::size_t> indexes{first, (first + 1) % size};
  constexpr unsigned kWholeGroup = 3;
  if (random() % kWholeGroup == 0) {
    indexes.push_back((first + 2) % size);
  }
  return CrashAndRename(platform, indexes);
}

std::function<void()> ReplicaThenPrimary(standin_platform& platform,
                                         std::mt19937_64& random) {
  constexpr milliseconds kBetween(300);
  const std::size_t size = platform.Group().Size();
  const std::size_t primary = platform.Group().PrimaryIndex();
  const std::size_t replica = (primary + 1 + random() % (size - 1)) % size;
  platform.Crash(replica);
  test_support::Pause(kBetween);
  return CrashAndRename(platform, {primary, replica});
}

/// Crashes a replica, which is back empty unless its log is the only one with
/// some write.
std::function<void()> EmptyReplica(standin_platform& platform,
                                   std::mt19937_64& random) {
  const std::size_t size = platform.Group().Size();
  const std::size_t primary = platform.Group().PrimaryIndex();
  const std::size_t replica = (primary + 1 + random() % (size - 1)) % size;
  platform.Crash(replica);
  return [&platform, replica] {
    platform.Restart(replica, IsCopied(platform, replica)
                                  ? instance_start::kEmpty
                                  : instance_start::kSameId);
  };
}

std::function<void()> DelayOrders(standin_platform& platform,
                                  std::mt19937_64& random) {
  constexpr std::size_t kOrders = 8;
  constexpr unsigned kMinLateness = 1000;
  constexpr unsigned kLatenessRange = 4001;
  std::vector<request_handling> handling(kOrders);
  for (request_handling& each : handling) {
    each.lateness = milliseconds(kMinLateness + random() % kLatenessRange);
  }
  platform.HandleNextPromotions(handling);
  const std::size_t primary = platform.Group().PrimaryIndex();
  platform.Crash(primary);
  return [&platform, primary] {
    platform.Restart(primary);
    platform.HandleNextPromotions({});
  };
}

}  // namespace

const std::vector<fault_kind>& ProcessFaults() {
  static const std::vector<fault_kind> kinds{
      {"rename-one", RenameOne},
      {"rename-several", RenameSeveral},
      {"replica-then-primary", ReplicaThenPrimary},
      {"empty-replica", EmptyReplica},
  };
  return kinds;
}

const fault_kind& LateOrders() {
  static const fault_kind kind{"late-order", DelayOrders};
  return kind;
}

}  // namespace test_platform
