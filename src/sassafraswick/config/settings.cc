#include "sassafraswick/config/settings.h"

#include <functional>
#include <map>

#include "sassafraswick/config/ini.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kMinSecretSize = 16;

/// Checks a value and stores it.
struct setting {
  bool required = true;
  std::function<result<void>(const std::string&)> store;
};

/// Settings by `section.key`.
using setting_map = std::map<std::string, setting>;

setting TextSetting(std::string& out, bool required = true) {
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

setting SecretSetting(std::string& out) {
  return {true, [&out](const std::string& value) -> result<void> {
            if (value.size() < kMinSecretSize) {
              return MakeError(error_kind::kInvalidSetting,
                               "is shorter than " +
                                   std::to_string(kMinSecretSize) + " bytes");
            }
            out = value;
            return boost::outcome_v2::success();
          }};
}

setting LevelSetting(log_level& out) {
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

void AddPlatform(setting_map& settings, platform_settings& platform) {
  settings["platform.store"] = EndpointSetting(platform.store);
  settings["platform.host_list"] = EndpointSetting(platform.host_list);
}

error BadSetting(const std::string& path, const std::string& name,
                 const std::string& reason) {
  std::string text = path;
  text += ": " + name + ": " + reason;
  return MakeError(error_kind::kInvalidSetting, std::move(text));
}

result<void> Load(const std::string& path, const setting_map& known) {
  BOOST_OUTCOME_TRY(std::string text, ReadFile(path));
  BOOST_OUTCOME_TRY(std::vector<ini_section> sections, ParseIni(text, path));
  setting_map missing = known;
  for (const ini_section& section : sections) {
    for (const ini_entry& entry : section.entries) {
      std::string name = section.name;
      name += "." + entry.key;
      const auto found = known.find(name);
      if (found == known.end()) {
        return BadSetting(path, name, "is not a known setting");
      }
      const result<void> stored = found->second.store(entry.value);
      if (!stored) {
        return BadSetting(path, name, stored.error().message);
      }
      missing.erase(name);
    }
  }
  for (const std::pair<const std::string, setting>& entry : missing) {
    if (entry.second.required) {
      return BadSetting(path, entry.first, "is missing");
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

result<daemon_settings> LoadDaemonSettings(const std::string& path) {
  daemon_settings loaded;
  setting_map known;
  known["host.id"] = TextSetting(loaded.host);
  known["host.availability_zone"] = TextSetting(loaded.availability_zone);
  known["listen.callers"] = EndpointSetting(loaded.callers);
  known["listen.peers"] = EndpointSetting(loaded.peers);
  known["fleet.secret"] = SecretSetting(loaded.fleet_secret);
  known["tls.certificate"] = TextSetting(loaded.tls_certificate, false);
  known["tls.key"] = TextSetting(loaded.tls_key, false);
  known["log.level"] = LevelSetting(loaded.level);
  AddPlatform(known, loaded.platform);
  BOOST_OUTCOME_TRY(Load(path, known));
  return loaded;
}

result<control_settings> LoadControlSettings(const std::string& path) {
  control_settings loaded;
  setting_map known;
  known["fleet.secret"] = SecretSetting(loaded.fleet_secret);
  AddPlatform(known, loaded.platform);
  BOOST_OUTCOME_TRY(Load(path, known));
  return loaded;
}

}  // namespace sassafraswick
