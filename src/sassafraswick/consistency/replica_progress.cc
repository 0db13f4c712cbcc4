#include "sassafraswick/consistency/replica_progress.h"

#include <algorithm>
#include <optional>

namespace sassafraswick {
namespace {

/// Returns the request time of the first sample for which `matches` holds.
template <typename Matches>
std::optional<time_point> FirstSampleTime(const primary_view& view,
                                          Matches matches) {
  const auto found =
      std::find_if(view.positions.begin(), view.positions.end(), matches);
  return found == view.positions.end()
             ? std::nullopt
             : std::optional<time_point>(found->requested_at);
}

}  // namespace

void RecordProgress(replica_progress& progress, const primary_view& view,
                    log_point visible_point, time_point now) {
  const std::optional<time_point> newer =
      FirstSampleTime(view, [visible_point](const position_sample& sample) {
        return IsBehind(visible_point, sample.position);
      });
  progress.visible_point = visible_point;
  progress.observed_at = now;
  progress.lag = newer.has_value()
                     ? std::chrono::duration_cast<duration>(now - *newer)
                     : duration::zero();
}

duration EstimateCatchUpWait(const replica_progress& progress,
                             const primary_view& view, log_point required,
                             time_point now) {
  const bool has_recent_lag = progress.observed_at != time_point() &&
                              now - progress.observed_at < kMaxProgressAge &&
                              progress.lag > duration::zero();
  if (!has_recent_lag || !IsBehind(progress.visible_point, required)) {
    return duration::zero();
  }
  const std::optional<time_point> written =
      FirstSampleTime(view, [required](const position_sample& sample) {
        return !IsBehind(sample.position, required);
      });
  const duration remaining =
      written.has_value()
          ? std::chrono::duration_cast<duration>(*written + progress.lag - now)
          : progress.lag;
  return std::max(remaining, kMinCatchUpWait);
}

}  // namespace sassafraswick
