#include "sassafraswick/proxy/caller_settings.h"

#include "sassafraswick/config/ini.h"

namespace sassafraswick {
namespace {

constexpr std::size_t kMaxSessionNameBytes = 200;

error UnknownParameter(std::string_view name) {
  return MakeError(
      error_kind::kNotFound,
      "unrecognized configuration parameter \"" + std::string(name) + "\"");
}

std::string FormatOptional(const std::optional<duration>& value) {
  return value.has_value() ? FormatDuration(*value) : std::string();
}

result<void> SetSession(caller_settings& settings, const std::string& value,
                        const token_codec& codec, const token_scope& scope) {
  if (!value.starts_with(kTokenPrefix)) {
    if (value.size() > kMaxSessionNameBytes) {
      return MakeError(error_kind::kInvalidSetting,
                       "session name is longer than " +
                           std::to_string(kMaxSessionNameBytes) + " bytes");
    }
    settings.session_name = value;
    settings.has_token = false;
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(log_point point, codec.Decode(value, scope));
  settings.has_token = true;
  Advance(settings.min_point, point);
  Advance(settings.latest_point, point);
  return boost::outcome_v2::success();
}

}  // namespace

void Advance(std::optional<log_point>& point, log_point to) {
  if (!point.has_value() || IsBehind(*point, to)) {
    point = to;
  }
}

result<void> SetParameter(caller_settings& settings, std::string_view name,
                          const std::string& value, const token_codec& codec,
                          const token_scope& scope) {
  if (name == parameter::kSession) {
    return SetSession(settings, value, codec, scope);
  }
  if (name == parameter::kMaxStaleness) {
    settings.max_staleness.reset();
    if (!value.empty()) {
      BOOST_OUTCOME_TRY(duration age, ParseDuration(value));
      settings.max_staleness = age;
    }
    return boost::outcome_v2::success();
  }
  if (name == parameter::kIdempotent) {
    BOOST_OUTCOME_TRY(settings.idempotent, ParseFlag(value));
    return boost::outcome_v2::success();
  }
  if (name == parameter::kDeadline) {
    BOOST_OUTCOME_TRY(duration deadline, ParseDuration(value));
    settings.deadline = deadline;
    return boost::outcome_v2::success();
  }
  return UnknownParameter(name);
}

result<std::string> ShowParameter(const caller_settings& settings,
                                  std::string_view name,
                                  const token_codec& codec,
                                  const token_scope& scope) {
  if (name == parameter::kSession) {
    return settings.latest_point.has_value()
               ? codec.Encode(scope, *settings.latest_point)
               : settings.session_name;
  }
  if (name == parameter::kIdempotent) {
    return std::string(settings.idempotent ? "on" : "off");
  }
  if (name == parameter::kMaxStaleness || name == parameter::kDeadline) {
    return FormatOptional(name == parameter::kDeadline
                              ? settings.deadline
                              : settings.max_staleness);
  }
  return UnknownParameter(name);
}

std::map<std::string, std::string, std::less<>> ParseOptions(
    std::string_view options) {
  std::map<std::string, std::string, std::less<>> parsed;
  bool expects_assignment = false;
  for (const std::string& word : SplitWords(options)) {
    const bool attached =
        word.starts_with("--") || (word.starts_with("-c") && word.size() > 2);
    std::string assignment;
    if (expects_assignment) {
      assignment = word;
    } else if (attached) {
      assignment = word.substr(2);
    }
    expects_assignment = word == "-c";
    const std::size_t equals = assignment.find('=');
    if (equals != std::string::npos) {
      parsed[assignment.substr(0, equals)] = assignment.substr(equals + 1);
    }
  }
  return parsed;
}

}  // namespace sassafraswick
