#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <vector>

#include "sassafraswick/net/transfer_deadline.h"

/// @file
/// Bulk transfers against a short deadline: many hosts read one large document
/// over the store's link. Replay: mdb-pedidos-large trouble-3, small; 14 hosts
/// read 353 KB each and all gave up after 1.2 s, over and over.

namespace sassafraswick {
namespace {

constexpr duration kTick = std::chrono::milliseconds(5);
constexpr duration kFirstByte = std::chrono::milliseconds(1200);

struct link_load {
  std::size_t readers = 0;
  double document_mbit = 0.0;
  double link_mbps = 0.0;
};

/// Gives up after a total time, as the store's client did before.
class total_timeout {
 public:
  explicit total_timeout(time_point started_at) : started_at_(started_at) {}
  void RecordProgress(time_point /*now*/) {}
  [[nodiscard]] duration Remaining(time_point now) const {
    return std::max(duration::zero(), std::chrono::duration_cast<duration>(
                                          started_at_ + kFirstByte - now));
  }

 private:
  time_point started_at_;
};

class stall_timeout : public transfer_deadline {
 public:
  explicit stall_timeout(time_point started_at)
      : transfer_deadline(started_at, kFirstByte) {}
};

struct transfer_outcome {
  std::size_t finished = 0;
  std::size_t aborted = 0;
  duration last_finish = duration::zero();
};

/// Readers share a link evenly; one that gives up begins anew at once.
template <typename Limit>
transfer_outcome SimulateTransfers(const link_load& load, duration length) {
  struct reader {
    double left_mbit;
    Limit limit;
    bool finished = false;
  };
  const time_point start;
  std::vector<reader> readers(load.readers,
                              {load.document_mbit, Limit(start), false});
  transfer_outcome outcome;
  for (time_point now = start; now < start + length; now += kTick) {
    const std::size_t active = load.readers - outcome.finished;
    if (active == 0) {
      break;
    }
    const double share = load.link_mbps *
                         std::chrono::duration<double>(kTick).count() /
                         static_cast<double>(active);
    for (reader& each : readers) {
      if (each.finished) {
        continue;
      }
      each.left_mbit -= share;
      each.limit.RecordProgress(now);
      if (each.left_mbit <= 0.0) {
        each.finished = true;
        ++outcome.finished;
        outcome.last_finish =
            std::chrono::duration_cast<duration>(now + kTick - start);
      } else if (each.limit.Remaining(now + kTick) == duration::zero()) {
        each = {load.document_mbit, Limit(now + kTick), false};
        ++outcome.aborted;
      }
    }
  }
  return outcome;
}

// The recover rule gives a fleet 15 s after its machines are back.
constexpr duration kRecovery = std::chrono::seconds(15);

TEST_CASE("readers of one large document all get it over a slow link",
          "[bulk]") {
  const link_load replayed{14, 2.82, 30.0};
  const transfer_outcome before =
      SimulateTransfers<total_timeout>(replayed, kRecovery);
  CHECK(before.finished == 0);
  // Each gives up some twelve times in that span.
  constexpr std::size_t kMinAborted = 168;
  CHECK(before.aborted >= kMinAborted);
  const transfer_outcome now =
      SimulateTransfers<stall_timeout>(replayed, kRecovery);
  CHECK(now.finished == 14);
  CHECK(now.aborted == 0);
}

TEST_CASE("a fleet that starts cold reads a large document in time", "[bulk]") {
  // All hosts at once over the store's 1,000 Mbit/s; documents are at most 1
  // MB, 11 Mbit in Base64.
  const link_load load =
      GENERATE(link_load{18, 11.2, 61.0}, link_load{295, 2.82, 1000.0},
               link_load{295, 11.2, 1000.0}, link_load{1200, 11.2, 1000.0});
  const transfer_outcome outcome =
      SimulateTransfers<stall_timeout>(load, kRecovery);
  CHECK(outcome.finished == load.readers);
  CHECK(outcome.aborted == 0);
}

TEST_CASE("a transfer without progress is given up", "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByte);
  CHECK(deadline.Remaining(start) == kFirstByte);
  const time_point begun = start + kFirstByte / 2;
  deadline.RecordProgress(begun);
  CHECK(deadline.Remaining(begun) == kTransferStallTimeout);
  CHECK(deadline.Remaining(begun + kTransferStallTimeout) == duration::zero());
}

TEST_CASE("a transfer that only trickles ends as well", "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByte);
  time_point now = start;
  while (now < start + kFirstByte + kMaxTransferTime) {
    CHECK(deadline.Remaining(now) > duration::zero());
    deadline.RecordProgress(now);
    now += kTransferStallTimeout / 2;
  }
  CHECK(deadline.Remaining(now) == duration::zero());
}

}  // namespace
}  // namespace sassafraswick
