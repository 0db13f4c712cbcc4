#ifndef SASSAFRASWICK_CONFIG_SETTING_MAP_H_
#define SASSAFRASWICK_CONFIG_SETTING_MAP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"

/// @file
/// Settings files: which settings there are, how each is checked and where it
/// goes.

namespace sassafraswick {

/// Checks a value and stores it.
struct setting {
  bool required = true;
  std::function<result<void>(const std::string&)> store;
};

/// Settings by `section.key`.
using setting_map = std::map<std::string, setting>;

enum class unknown_setting_policy : std::uint8_t {
  kRejected,
  /// For files that another party fills in, which may come to hold more.
  kIgnored,
};

/// Settings that store into what they are given, which has to outlive them.
[[nodiscard]] setting TextSetting(std::string& out, bool required = true);
[[nodiscard]] setting EndpointSetting(endpoint& out);
[[nodiscard]] setting DurationSetting(duration& out);
[[nodiscard]] setting LogLevelSetting(log_level& out);
/// A number above 0; what cannot be read leaves the default.
[[nodiscard]] setting RateSetting(double& out);

/// Reads a settings file.
/// @return `error_kind::kInvalidSetting` or `kIo` with file, setting and
/// reason.
[[nodiscard]] result<void> LoadSettings(const std::string& path,
                                        const setting_map& known,
                                        unknown_setting_policy unknown);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_SETTING_MAP_H_
