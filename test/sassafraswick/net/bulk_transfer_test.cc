#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <vector>

#include "sassafraswick/net/transfer_deadline.h"

/// @file
/// Simulates many hosts that read one large document over the store's link.
/// Guards against the failure of run mdb-pedidos-large trouble-3 (small site):
/// 14 hosts read 353 KB each, and all of them repeatedly aborted the transfer
/// at a total timeout of 1.2 s.

namespace sassafraswick {
namespace {

constexpr duration kTick = std::chrono::milliseconds(5);
constexpr duration kFirstByteTimeout = std::chrono::milliseconds(1200);

struct link_load {
  std::size_t readers = 0;
  double document_mbit = 0.0;
  double link_mbps = 0.0;
};

/// Former deadline of the store's client: a timeout for the whole transfer.
class total_timeout {
 public:
  explicit total_timeout(time_point started_at) : started_at_(started_at) {}
  void RecordProgress(time_point /*now*/) {}
  [[nodiscard]] duration Remaining(time_point now) const {
    return std::max(duration::zero(),
                    std::chrono::duration_cast<duration>(
                        started_at_ + kFirstByteTimeout - now));
  }

 private:
  time_point started_at_;
};

class stall_timeout : public transfer_deadline {
 public:
  explicit stall_timeout(time_point started_at)
      : transfer_deadline(started_at, kFirstByteTimeout) {}
};

struct transfer_outcome {
  std::size_t finished = 0;
  std::size_t aborted = 0;
  duration last_finish = duration::zero();
};

/// Simulates readers that share a link evenly. A reader that aborts its
/// transfer restarts it immediately.
template <typename Deadline>
transfer_outcome SimulateTransfers(const link_load& load, duration length) {
  struct reader {
    double remaining_mbit;
    Deadline deadline;
    bool finished = false;
  };
  const time_point start;
  std::vector<reader> readers(load.readers,
                              {load.document_mbit, Deadline(start), false});
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
      each.remaining_mbit -= share;
      each.deadline.RecordProgress(now);
      if (each.remaining_mbit <= 0.0) {
        each.finished = true;
        ++outcome.finished;
        outcome.last_finish =
            std::chrono::duration_cast<duration>(now + kTick - start);
      } else if (each.deadline.Remaining(now + kTick) == duration::zero()) {
        each = {load.document_mbit, Deadline(now + kTick), false};
        ++outcome.aborted;
      }
    }
  }
  return outcome;
}

// A fleet must recover within 15 s after its machines are back.
constexpr duration kMaxRecoveryTime = std::chrono::seconds(15);

TEST_CASE("all readers receive one large document over a slow link", "[bulk]") {
  const link_load replayed{14, 2.82, 30.0};
  const transfer_outcome with_total_timeout =
      SimulateTransfers<total_timeout>(replayed, kMaxRecoveryTime);
  CHECK(with_total_timeout.finished == 0);
  // Each of the 14 readers aborts about twelve times within that time.
  constexpr std::size_t kMinAborted = 168;
  CHECK(with_total_timeout.aborted >= kMinAborted);
  const transfer_outcome with_stall_timeout =
      SimulateTransfers<stall_timeout>(replayed, kMaxRecoveryTime);
  CHECK(with_stall_timeout.finished == 14);
  CHECK(with_stall_timeout.aborted == 0);
}

TEST_CASE("hosts that all start at once read a large document in time",
          "[bulk]") {
  // All hosts read at once, in most cases over the store's link of 1,000
  // Mbit/s. Documents are at most 1 MB, which is 11 Mbit in Base64.
  const link_load load =
      GENERATE(link_load{18, 11.2, 61.0}, link_load{295, 2.82, 1000.0},
               link_load{295, 11.2, 1000.0}, link_load{1200, 11.2, 1000.0});
  const transfer_outcome outcome =
      SimulateTransfers<stall_timeout>(load, kMaxRecoveryTime);
  CHECK(outcome.finished == load.readers);
  CHECK(outcome.aborted == 0);
}

TEST_CASE("a transfer without progress is aborted", "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByteTimeout);
  CHECK(deadline.Remaining(start) == kFirstByteTimeout);
  const time_point begun = start + kFirstByteTimeout / 2;
  deadline.RecordProgress(begun);
  CHECK(deadline.Remaining(begun) == kTransferStallTimeout);
  CHECK(deadline.Remaining(begun + kTransferStallTimeout) == duration::zero());
}

TEST_CASE("a transfer that keeps progressing ends at the final deadline",
          "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByteTimeout);
  time_point now = start;
  while (now < start + kFirstByteTimeout + kMaxTransferTime) {
    CHECK(deadline.Remaining(now) > duration::zero());
    deadline.RecordProgress(now);
    now += kTransferStallTimeout / 2;
  }
  CHECK(deadline.Remaining(now) == duration::zero());
}

}  // namespace
}  // namespace sassafraswick
