#include "sassafraswick/consistency/primary_view.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Clears the view for a new term; proofs of the previous term do not apply.
void ResetToTerm(primary_view& view, term_number term) {
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
    ResetToTerm(view, term);
  }
  view.primary = instance;
  return true;
}

bool RecordNotPrimary(primary_view& view, const std::string& instance,
                      term_number term) {
  if (term > view.term) {
    ResetToTerm(view, term);
    return true;
  }
  if (!view.primary.empty() && view.primary == instance) {
    view.primary.clear();
    return true;
  }
  return false;
}

void RecordProof(primary_view& view, term_number term,
                 time_point requested_at) {
  if (term == view.term) {
    view.proof_requested_at =
        std::max(view.proof_requested_at.value_or(requested_at), requested_at);
  }
}

void RecordPosition(primary_view& view, const std::string& instance,
                    log_point position, time_point requested_at) {
  std::deque<position_sample>& samples = view.positions;
  const bool newer =
      samples.empty() || requested_at > samples.back().requested_at;
  if (view.primary != instance || position.term != view.term || !newer) {
    return;
  }
  const bool replaces_last =
      samples.size() > 1 &&
      samples.back().requested_at - samples[samples.size() - 2].requested_at <
          kMinPositionInterval;
  if (replaces_last) {
    samples.pop_back();
  }
  samples.push_back({position, requested_at});
  while (requested_at - samples.front().requested_at > kPositionRetention) {
    samples.pop_front();
  }
}

bool IsPrimaryLeaseValid(const primary_view& view, const std::string& instance,
                         term_number term, time_point now) {
  return !instance.empty() && view.primary == instance && view.term == term &&
         view.proof_requested_at.has_value() &&
         now < *view.proof_requested_at + kPrimaryLeaseDuration;
}

std::optional<log_point> CoveringPosition(const primary_view& view,
                                          time_point acknowledged_before) {
  const bool covered =
      view.proof_requested_at.has_value() &&
      acknowledged_before <= *view.proof_requested_at + kPrimaryLeaseDuration;
  if (!covered) {
    return std::nullopt;
  }
  for (const position_sample& sample : view.positions) {
    if (sample.requested_at >= acknowledged_before) {
      return sample.position;
    }
  }
  return std::nullopt;
}

std::optional<log_point> LowestCommitPosition(
    const std::optional<log_point>& known_before, term_number response_term) {
  if (!known_before.has_value() || known_before->term != response_term) {
    return std::nullopt;
  }
  return log_point{response_term, known_before->position + 1};
}

std::optional<view_report> MakeViewReport(const primary_view& view,
                                          time_point now) {
  if (!IsPrimaryLeaseValid(view, view.primary, view.term, now) ||
      view.positions.empty()) {
    return std::nullopt;
  }
  view_report report;
  report.term = view.term;
  report.primary = view.primary;
  report.proof_age =
      std::chrono::duration_cast<duration>(now - *view.proof_requested_at);
  report.position = view.positions.back().position.position;
  report.position_age = std::chrono::duration_cast<duration>(
      now - view.positions.back().requested_at);
  return report;
}

bool ApplyViewReport(primary_view& view, const view_report& report,
                     time_point request_sent_at) {
  const bool changed = RecordPrimary(view, report.primary, report.term);
  RecordProof(view, report.term, request_sent_at - report.proof_age);
  RecordPosition(view, report.primary, {report.term, report.position},
                 request_sent_at - report.position_age);
  return changed;
}

std::optional<log_point> RequiredPosition(
    const primary_view& view, time_point acknowledged_before,
    const std::optional<session_position>& own_position) {
  const std::optional<log_point> proved =
      CoveringPosition(view, acknowledged_before);
  if (!proved.has_value() || !own_position.has_value()) {
    return proved;
  }
  if (own_position->point.term > proved->term) {
    return own_position->point;
  }
  if (own_position->point.term == proved->term) {
    return IsBehind(*proved, own_position->point) ? own_position->point
                                                  : proved;
  }
  // Positions of different terms are not comparable. A position requested after
  // the session's write was acknowledged covers that write.
  return CoveringPosition(
      view, std::max(acknowledged_before, own_position->acknowledged_at));
}

}  // namespace sassafraswick
