#include "sassafraswick/config/settings.h"

#include "sassafraswick/config/setting_map.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kMinSecretBytes = 16;

setting SecretSetting(std::string& out) {
  return {true, [&out](const std::string& value) -> result<void> {
            if (value.size() < kMinSecretBytes) {
              return MakeError(error_kind::kInvalidSetting,
                               "is shorter than " +
                                   std::to_string(kMinSecretBytes) + " bytes");
            }
            out = value;
            return boost::outcome_v2::success();
          }};
}

void AddPlatformSettings(setting_map& settings, platform_settings& platform) {
  settings["platform.store"] = EndpointSetting(platform.store);
  settings["platform.host_list"] = EndpointSetting(platform.host_list);
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
  known["log.level"] = LogLevelSetting(loaded.level);
  known["limits.memory"] =
      CountSetting(loaded.limits.memory_mb, invalid_value_policy::kRejected);
  known["limits.descriptors"] =
      CountSetting(loaded.limits.descriptors, invalid_value_policy::kRejected);
  known["limits.message_timeout"] =
      DurationSetting(loaded.limits.message_timeout);
  known["limits.message_timeout"].required = false;
  AddPlatformSettings(known, loaded.platform);
  BOOST_OUTCOME_TRY(
      LoadSettings(path, known, unknown_setting_policy::kRejected));
  return loaded;
}

result<control_settings> LoadControlSettings(const std::string& path) {
  control_settings loaded;
  setting_map known;
  known["fleet.secret"] = SecretSetting(loaded.fleet_secret);
  AddPlatformSettings(known, loaded.platform);
  BOOST_OUTCOME_TRY(
      LoadSettings(path, known, unknown_setting_policy::kRejected));
  return loaded;
}

}  // namespace sassafraswick
