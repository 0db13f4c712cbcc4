#include "sassafraswick/fleet/zone_evacuation.h"

#include <algorithm>
#include <utility>

namespace sassafraswick {

void evacuated_zones::Load(const std::vector<std::string>& zones, store_era era,
                           time_point now) {
  const bool is_new_era = era_.has_value() && *era_ != era;
  era_ = era;
  std::map<std::string, mark, std::less<>> previous = std::exchange(marks_, {});
  for (const std::string& zone : zones) {
    const auto known = previous.find(zone);
    marks_[zone] = {known == previous.end() ? now : known->second.since, {}};
  }
  for (const std::pair<const std::string, mark>& each : previous) {
    const bool is_lost = !marks_.contains(each.first) &&
                         (is_new_era || each.second.lost_at.has_value());
    if (is_lost) {
      marks_[each.first] = {each.second.since,
                            each.second.lost_at.value_or(now)};
    }
  }
}

void evacuated_zones::Mark(const std::string& zone, time_point now) {
  const auto known = marks_.find(zone);
  marks_[zone] = {known == marks_.end() ? now : known->second.since, {}};
}

void evacuated_zones::Unmark(const std::string& zone) { marks_.erase(zone); }

void evacuated_zones::DropLostMarks(time_point now) {
  std::erase_if(marks_, [now](const std::pair<const std::string, mark>& each) {
    return each.second.lost_at.has_value() &&
           now - *each.second.lost_at >= kLostMarkRetention;
  });
}

std::optional<time_point> evacuated_zones::Since(std::string_view zone) const {
  const auto found = marks_.find(zone);
  return found == marks_.end() ? std::nullopt
                               : std::optional<time_point>(found->second.since);
}

std::vector<std::string> evacuated_zones::Names() const {
  std::vector<std::string> names;
  for (const std::pair<const std::string, mark>& each : marks_) {
    names.push_back(each.first);
  }
  return names;
}

}  // namespace sassafraswick
