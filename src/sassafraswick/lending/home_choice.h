#ifndef SASSAFRASWICK_LENDING_HOME_CHOICE_H_
#define SASSAFRASWICK_LENDING_HOME_CHOICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Decides from which home a host borrows a connection, and when it opens one
/// of its own.

namespace sassafraswick {

/// Time within which a home answers a request, at least that it is queued. A
/// message is read within 50 ms even if its notification is lost.
inline constexpr duration kHomeAnswerTimeout = std::chrono::milliseconds(80);
/// Interval at which one request tries a home that does not answer.
inline constexpr duration kSilentHomeRetryInterval =
    std::chrono::milliseconds(500);

/// Tracks which homes answer this host's requests.
class home_monitor {
 public:
  /// Records that a home did not answer within `kHomeAnswerTimeout`.
  void RecordSilence(const std::string& home, time_point now);

  /// Records a message of a home.
  void RecordMessage(std::string_view home);

  /// Returns whether a request may be sent to a home. A silent home gets one
  /// request each `kSilentHomeRetryInterval`.
  [[nodiscard]] bool TryUse(std::string_view home, time_point now);

 private:
  /// When a silent home may be tried next.
  std::map<std::string, time_point, std::less<>> retry_at_;
};

enum class home_step : std::uint8_t {
  /// Borrow from `home`.
  kBorrow,
  /// This host is the home itself.
  kServe,
  /// No home is left: open a connection as without homes.
  kOpenOwn,
};

struct home_choice {
  home_step step = home_step::kOpenOwn;
  std::string home;
  /// Position in the ranking after which to continue if this one fails.
  std::size_t next = 0;
};

/// Chooses the next home to try.
/// @param homes Homes of the instance, best first.
/// @param from Position in `homes` at which to begin.
/// @param host This host.
[[nodiscard]] home_choice ChooseHome(const std::vector<std::string>& homes,
                                     std::size_t from, std::string_view host,
                                     home_monitor& monitor, time_point now);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_HOME_CHOICE_H_
