#include "sassafraswick/lending/home_choice.h"

namespace sassafraswick {

void home_monitor::RecordSilence(const std::string& home, time_point now) {
  retry_at_[home] = now + kSilentHomeRetryInterval;
}

void home_monitor::RecordMessage(std::string_view home) {
  const auto found = retry_at_.find(home);
  if (found != retry_at_.end()) {
    retry_at_.erase(found);
  }
}

bool home_monitor::TryUse(std::string_view home, time_point now) {
  const auto found = retry_at_.find(home);
  if (found == retry_at_.end()) {
    return true;
  }
  if (now < found->second) {
    return false;
  }
  found->second = now + kSilentHomeRetryInterval;
  return true;
}

home_choice ChooseHome(const std::vector<std::string>& homes, std::size_t from,
                       std::string_view host, home_monitor& monitor,
                       time_point now) {
  home_choice choice;
  for (std::size_t i = from; i < homes.size(); ++i) {
    choice.next = i + 1;
    if (homes[i] == host) {
      choice.step = home_step::kServe;
      return choice;
    }
    if (monitor.TryUse(homes[i], now)) {
      choice.step = home_step::kBorrow;
      choice.home = homes[i];
      return choice;
    }
  }
  choice.next = homes.size();
  return choice;
}

}  // namespace sassafraswick
