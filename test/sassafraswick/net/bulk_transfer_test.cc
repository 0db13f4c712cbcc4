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
class total_limit {
 public:
  explicit total_limit(time_point started_at) : started_at_(started_at) {}
  void NoteProgress(time_point /*now*/) {}
  [[nodiscard]] duration Left(time_point now) const {
    return std::max(duration::zero(), std::chrono::duration_cast<duration>(
                                          started_at_ + kFirstByte - now));
  }

 private:
  time_point started_at_;
};

class progress_limit : public transfer_deadline {
 public:
  explicit progress_limit(time_point started_at)
      : transfer_deadline(started_at, kFirstByte) {}
};

struct storm_outcome {
  std::size_t finished = 0;
  std::size_t given_up = 0;
  duration last_finish = duration::zero();
};

/// Readers share a link evenly; one that gives up begins anew at once.
template <typename Limit>
storm_outcome PlayStorm(const link_load& load, duration length) {
  struct reader {
    double left_mbit;
    Limit limit;
    bool finished = false;
  };
  const time_point start;
  std::vector<reader> readers(load.readers,
                              {load.document_mbit, Limit(start), false});
  storm_outcome outcome;
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
      each.limit.NoteProgress(now);
      if (each.left_mbit <= 0.0) {
        each.finished = true;
        ++outcome.finished;
        outcome.last_finish =
            std::chrono::duration_cast<duration>(now + kTick - start);
      } else if (each.limit.Left(now + kTick) == duration::zero()) {
        each = {load.document_mbit, Limit(now + kTick), false};
        ++outcome.given_up;
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
  const storm_outcome before = PlayStorm<total_limit>(replayed, kRecovery);
  CHECK(before.finished == 0);
  // Each gives up some twelve times in that span.
  constexpr std::size_t kGivenUp = 168;
  CHECK(before.given_up >= kGivenUp);
  const storm_outcome now = PlayStorm<progress_limit>(replayed, kRecovery);
  CHECK(now.finished == 14);
  CHECK(now.given_up == 0);
}

TEST_CASE("a fleet that starts cold reads a large document in time", "[bulk]") {
  // All hosts at once over the store's 1,000 Mbit/s; documents are at most 1
  // MB, 11 Mbit in Base64.
  const link_load load =
      GENERATE(link_load{18, 11.2, 61.0}, link_load{295, 2.82, 1000.0},
               link_load{295, 11.2, 1000.0}, link_load{1200, 11.2, 1000.0});
  const storm_outcome outcome = PlayStorm<progress_limit>(load, kRecovery);
  CHECK(outcome.finished == load.readers);
  CHECK(outcome.given_up == 0);
}

TEST_CASE("a transfer without progress is given up", "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByte);
  CHECK(deadline.Left(start) == kFirstByte);
  const time_point begun = start + kFirstByte / 2;
  deadline.NoteProgress(begun);
  CHECK(deadline.Left(begun) == kTransferStall);
  CHECK(deadline.Left(begun + kTransferStall) == duration::zero());
}

TEST_CASE("a transfer that only trickles ends as well", "[bulk]") {
  const time_point start;
  transfer_deadline deadline(start, kFirstByte);
  time_point now = start;
  while (now < start + kFirstByte + kTransferLimit) {
    CHECK(deadline.Left(now) > duration::zero());
    deadline.NoteProgress(now);
    now += kTransferStall / 2;
  }
  CHECK(deadline.Left(now) == duration::zero());
}

}  // namespace
}  // namespace sassafraswick
