#include "sassafraswick/consistency/primary_view.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Starts over with a new term. What was proved of the old one is void.
void EnterTerm(primary_view& view, term_number term) {
  view = primary_view();
  view.term = term;
}

}  // namespace

bool RecordPrimary(primary_view& view, const std::string& instance,
                   term_number term) {
  if (term < view.term || (term == view.term && view.primary == instance)) {
    return false;
  }
  if (term > view.term) {
    EnterTerm(view, term);
  }
  view.primary = instance;
  return true;
}

bool RecordFollower(primary_view& view, const std::string& instance,
                    term_number term) {
  if (term > view.term) {
    EnterTerm(view, term);
    return true;
  }
  if (!view.primary.empty() && view.primary == instance) {
    view.primary.clear();
    return true;
  }
  return false;
}

void RecordProof(primary_view& view, term_number term, time_point asked_at) {
  if (term == view.term) {
    view.proved_at = std::max(view.proved_at.value_or(asked_at), asked_at);
  }
}

void RecordPosition(primary_view& view, const std::string& instance,
                    log_point position, time_point asked_at) {
  std::deque<seen_position>& kept = view.positions;
  const bool newer = kept.empty() || asked_at > kept.back().asked_at;
  if (view.primary != instance || position.term != view.term || !newer) {
    return;
  }
  const bool replaces =
      kept.size() > 1 &&
      kept.back().asked_at - kept[kept.size() - 2].asked_at < kPositionSpacing;
  if (replaces) {
    kept.pop_back();
  }
  kept.push_back({position, asked_at});
  while (asked_at - kept.front().asked_at > kPositionLife) {
    kept.pop_front();
  }
}

bool IsPermitted(const primary_view& view, const std::string& instance,
                 term_number term, time_point now) {
  return !instance.empty() && view.primary == instance && view.term == term &&
         view.proved_at.has_value() && now < *view.proved_at + kPermitWindow;
}

std::optional<log_point> ProvedPosition(const primary_view& view,
                                        time_point moment) {
  const bool covered =
      view.proved_at.has_value() && moment <= *view.proved_at + kPermitWindow;
  if (!covered) {
    return std::nullopt;
  }
  for (const seen_position& each : view.positions) {
    if (each.asked_at >= moment) {
      return each.position;
    }
  }
  return std::nullopt;
}

std::optional<view_report> ReportView(const primary_view& view,
                                      time_point now) {
  if (!IsPermitted(view, view.primary, view.term, now) ||
      view.positions.empty()) {
    return std::nullopt;
  }
  view_report report;
  report.term = view.term;
  report.primary = view.primary;
  report.proof_age =
      std::chrono::duration_cast<duration>(now - *view.proved_at);
  report.position = view.positions.back().position.position;
  report.position_age = std::chrono::duration_cast<duration>(
      now - view.positions.back().asked_at);
  return report;
}

bool LearnReport(primary_view& view, const view_report& report,
                 time_point question_sent_at) {
  const bool changed = RecordPrimary(view, report.primary, report.term);
  RecordProof(view, report.term, question_sent_at - report.proof_age);
  RecordPosition(view, report.primary, {report.term, report.position},
                 question_sent_at - report.position_age);
  return changed;
}

std::optional<log_point> RequiredPosition(
    const primary_view& view, time_point moment,
    const std::optional<session_floor>& floor) {
  const std::optional<log_point> proved = ProvedPosition(view, moment);
  if (!proved.has_value() || !floor.has_value()) {
    return proved;
  }
  if (floor->point.term > proved->term) {
    return floor->point;
  }
  if (floor->point.term == proved->term) {
    return IsBehind(*proved, floor->point) ? floor->point : proved;
  }
  // Positions of two terms do not compare. One that was asked for after the
  // own write was acknowledged holds it.
  return ProvedPosition(view, std::max(moment, floor->at));
}

}  // namespace sassafraswick
