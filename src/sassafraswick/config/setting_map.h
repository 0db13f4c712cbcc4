#ifndef SASSAFRASWICK_CONFIG_SETTING_MAP_H_
#define SASSAFRASWICK_CONFIG_SETTING_MAP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/core/time.h"

/// @file
/// Loading of settings files: the known settings, how each is validated and
/// where its value is stored.

namespace sassafraswick {

/// A known setting.
struct setting {
  bool required = true;
  /// Validates and stores a value.
  std::function<result<void>(const std::string&)> store;
};

/// Settings by `section.key`.
using setting_map = std::map<std::string, setting>;

enum class unknown_setting_policy : std::uint8_t {
  kRejected,
  /// For files written by another party, which may add settings.
  kIgnored,
};

/// How an invalid value of an optional setting is treated.
enum class invalid_value_policy : std::uint8_t {
  kRejected,
  /// The default remains.
  kIgnored,
};

/// Settings that store their value in `out`, which must outlive them.
[[nodiscard]] setting TextSetting(std::string& out, bool required = true);
[[nodiscard]] setting EndpointSetting(endpoint& out);
[[nodiscard]] setting DurationSetting(duration& out);
[[nodiscard]] setting LogLevelSetting(log_level& out);
/// An optional time; an invalid value is ignored, so that the default remains.
[[nodiscard]] setting OptionalDurationSetting(duration& out);
/// A positive number; an invalid value is ignored, so that the default remains.
[[nodiscard]] setting RateSetting(double& out);
/// An optional whole number above 0.
[[nodiscard]] setting CountSetting(std::optional<std::uint64_t>& out,
                                   invalid_value_policy invalid);

/// Reads a settings file.
/// @return `error_kind::kInvalidSetting` or `kIo` with the file, the setting
/// and the reason.
[[nodiscard]] result<void> LoadSettings(const std::string& path,
                                        const setting_map& known,
                                        unknown_setting_policy unknown);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_SETTING_MAP_H_
