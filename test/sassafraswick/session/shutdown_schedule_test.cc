#include "sassafraswick/session/shutdown_schedule.h"

#include <catch2/catch.hpp>

/// @file
/// Load pattern: a planned stop while callers keep sending statements.

namespace sassafraswick {
namespace {

constexpr duration kGrace = std::chrono::seconds(6);

time_point After(duration elapsed) {
  return time_point(std::chrono::hours(1)) + elapsed;
}

shutdown_phase PhaseAfter(duration elapsed) {
  return shutdown_schedule(After(duration::zero()), kGrace)
      .PhaseAt(After(elapsed));
}

TEST_CASE("a shutdown closes sessions before it ends", "[shutdown]") {
  using std::chrono::milliseconds;
  CHECK(PhaseAfter(milliseconds(0)) == shutdown_phase::kClosingIdle);
  CHECK(PhaseAfter(milliseconds(2299)) == shutdown_phase::kClosingIdle);
  CHECK(PhaseAfter(milliseconds(2300)) == shutdown_phase::kClosingAll);
  CHECK(PhaseAfter(milliseconds(4000)) == shutdown_phase::kFinishing);
  CHECK(PhaseAfter(milliseconds(4800)) == shutdown_phase::kEnding);
  CHECK(PhaseAfter(milliseconds(5800)) == shutdown_phase::kOver);
}

TEST_CASE("a short grace period keeps the order of the phases", "[shutdown]") {
  shutdown_phase last = shutdown_phase::kClosingIdle;
  const shutdown_schedule schedule(After(duration::zero()),
                                   std::chrono::seconds(2));
  for (duration at = duration::zero(); at < std::chrono::seconds(2);
       at += std::chrono::milliseconds(10)) {
    const shutdown_phase phase = schedule.PhaseAt(After(at));
    CHECK(phase >= last);
    last = phase;
  }
  CHECK(last == shutdown_phase::kOver);
}

TEST_CASE("busy sessions are closed once no new callers arrive", "[shutdown]") {
  CHECK_FALSE(ClosesSession(shutdown_phase::kClosingIdle, statement_kind::kRead,
                            transaction_state::kIdle));
  CHECK(ClosesSession(shutdown_phase::kClosingAll, statement_kind::kRead,
                      transaction_state::kIdle));
  CHECK(ClosesSession(shutdown_phase::kClosingAll, statement_kind::kCommit,
                      transaction_state::kIdle));
  CHECK_FALSE(ClosesSession(shutdown_phase::kClosingAll, statement_kind::kRead,
                            transaction_state::kOpen));
  // The caller sends its next statement at once.
  CHECK_FALSE(ClosesSession(shutdown_phase::kClosingAll,
                            statement_kind::kPrepare,
                            transaction_state::kIdle));
}

TEST_CASE("operations that cannot finish any more are rejected", "[shutdown]") {
  const shutdown_phase late = shutdown_phase::kFinishing;
  CHECK(RunsStatement(shutdown_phase::kClosingAll, statement_kind::kWrite,
                      transaction_state::kIdle));
  CHECK_FALSE(
      RunsStatement(late, statement_kind::kWrite, transaction_state::kIdle));
  CHECK_FALSE(
      RunsStatement(late, statement_kind::kBegin, transaction_state::kIdle));
  CHECK_FALSE(
      RunsStatement(late, statement_kind::kWrite, transaction_state::kOpen));
  CHECK(RunsStatement(late, statement_kind::kCommit, transaction_state::kOpen));
  CHECK(RunsStatement(late, statement_kind::kRead, transaction_state::kFailed));
  CHECK(RunsStatement(late, statement_kind::kSet, transaction_state::kIdle));
}

}  // namespace
}  // namespace sassafraswick
