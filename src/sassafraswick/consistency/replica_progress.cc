#include "sassafraswick/consistency/replica_progress.h"

#include <algorithm>
#include <optional>

namespace sassafraswick {
namespace {

/// When the primary first showed something for which `matches` holds.
template <typename Matches>
std::optional<time_point> FirstSeen(const primary_view& view, Matches matches) {
  const auto found =
      std::find_if(view.positions.begin(), view.positions.end(), matches);
  return found == view.positions.end()
             ? std::nullopt
             : std::optional<time_point>(found->asked_at);
}

}  // namespace

void RecordProgress(replica_progress& progress, const primary_view& view,
                    log_point shown, time_point now) {
  const std::optional<time_point> newer =
      FirstSeen(view, [shown](const seen_position& each) {
        return IsBehind(shown, each.position);
      });
  progress.shown = shown;
  progress.seen_at = now;
  progress.lag = newer.has_value()
                     ? std::chrono::duration_cast<duration>(now - *newer)
                     : duration::zero();
}

duration ExpectedWait(const replica_progress& progress,
                      const primary_view& view, log_point wanted,
                      time_point now) {
  const bool speaks = progress.seen_at != time_point() &&
                      now - progress.seen_at < kProgressLife &&
                      progress.lag > duration::zero();
  if (!speaks || !IsBehind(progress.shown, wanted)) {
    return duration::zero();
  }
  const std::optional<time_point> written =
      FirstSeen(view, [wanted](const seen_position& each) {
        return !IsBehind(each.position, wanted);
      });
  const duration left =
      written.has_value()
          ? std::chrono::duration_cast<duration>(*written + progress.lag - now)
          : progress.lag;
  return std::max(left, kLeastWait);
}

}  // namespace sassafraswick
