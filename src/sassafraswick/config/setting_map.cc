#include "sassafraswick/config/setting_map.h"

#include <charconv>
#include <system_error>
#include <utility>
#include <vector>

#include "sassafraswick/config/ini.h"

namespace sassafraswick {
namespace {

/// @param name Section and key, separated by a dot.
error SettingError(const std::string& path, const std::string& name,
                   const std::string& reason) {
  const std::size_t dot = name.find('.');
  std::string text = path;
  text += ": [" + name.substr(0, dot) + "] " + name.substr(dot + 1);
  text += reason.starts_with("is ") ? " " : ": ";
  text += reason;
  return MakeError(error_kind::kInvalidSetting, std::move(text));
}

}  // namespace

setting TextSetting(std::string& out, bool required) {
  return {required, [&out](const std::string& value) -> result<void> {
            if (value.empty()) {
              return MakeError(error_kind::kInvalidSetting, "is empty");
            }
            out = value;
            return boost::outcome_v2::success();
          }};
}

setting EndpointSetting(endpoint& out) {
  return {true, [&out](const std::string& value) -> result<void> {
            BOOST_OUTCOME_TRY(out, ParseEndpoint(value));
            return boost::outcome_v2::success();
          }};
}

setting DurationSetting(duration& out) {
  return {true, [&out](const std::string& value) -> result<void> {
            BOOST_OUTCOME_TRY(out, ParseDuration(value));
            return boost::outcome_v2::success();
          }};
}

setting OptionalDurationSetting(duration& out) {
  return {false, [&out](const std::string& value) -> result<void> {
            const result<duration> read = ParseDuration(value);
            if (read) {
              out = read.value();
            }
            return boost::outcome_v2::success();
          }};
}

setting LogLevelSetting(log_level& out) {
  return {false, [&out](const std::string& value) -> result<void> {
            if (value != "debug" && value != "info" && value != "warning" &&
                value != "error") {
              return MakeError(
                  error_kind::kInvalidSetting,
                  "'" + value + "' is not debug, info, warning or error");
            }
            out = ParseLogLevel(value);
            return boost::outcome_v2::success();
          }};
}

setting RateSetting(double& out) {
  return {false, [&out](const std::string& value) -> result<void> {
            double rate = 0.0;
            const char* const end = value.data() + value.size();
            const std::from_chars_result read =
                std::from_chars(value.data(), end, rate);
            if (read.ec == std::errc() && read.ptr == end && rate > 0.0) {
              out = rate;
            }
            return boost::outcome_v2::success();
          }};
}

setting CountSetting(std::optional<std::uint64_t>& out,
                     invalid_value_policy invalid) {
  return {false, [&out, invalid](const std::string& value) -> result<void> {
            std::uint64_t count = 0;
            const char* const end = value.data() + value.size();
            const std::from_chars_result read =
                std::from_chars(value.data(), end, count);
            const bool valid =
                read.ec == std::errc() && read.ptr == end && count > 0;
            if (valid) {
              out = count;
            } else if (invalid == invalid_value_policy::kRejected) {
              return MakeError(error_kind::kInvalidSetting,
                               "'" + value + "' is not a whole number above 0");
            }
            return boost::outcome_v2::success();
          }};
}

result<void> LoadSettings(const std::string& path, const setting_map& known,
                          unknown_setting_policy unknown) {
  BOOST_OUTCOME_TRY(std::string text, ReadFile(path));
  BOOST_OUTCOME_TRY(std::vector<ini_section> sections, ParseIni(text, path));
  setting_map missing = known;
  for (const ini_section& section : sections) {
    for (const ini_entry& entry : section.entries) {
      std::string name = section.name;
      name += "." + entry.key;
      const auto found = known.find(name);
      if (found == known.end()) {
        if (unknown == unknown_setting_policy::kIgnored) {
          continue;
        }
        return SettingError(path, name, "is not a known setting");
      }
      const result<void> stored = found->second.store(entry.value);
      if (!stored) {
        return SettingError(path, name, stored.error().message);
      }
      missing.erase(name);
    }
  }
  for (const std::pair<const std::string, setting>& entry : missing) {
    if (entry.second.required) {
      return SettingError(path, entry.first, "is missing");
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace sassafraswick
