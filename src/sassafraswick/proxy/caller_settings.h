#ifndef SASSAFRASWICK_PROXY_CALLER_SETTINGS_H_
#define SASSAFRASWICK_PROXY_CALLER_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/consistency/freshness.h"
#include "sassafraswick/consistency/token.h"
#include "sassafraswick/core/error.h"

/// @file
/// Session settings made through `sassafraswick.` parameters.

namespace sassafraswick {

/// Names of the proxy parameters, in lower case.
namespace parameter {
inline constexpr std::string_view kSession = "sassafraswick.session";
inline constexpr std::string_view kMaxStaleness = "sassafraswick.max_staleness";
inline constexpr std::string_view kIdempotent = "sassafraswick.idempotent";
inline constexpr std::string_view kDeadline = "sassafraswick.deadline";
}  // namespace parameter

/// Proxy parameters of a session, and its position in the log of the group.
struct caller_settings {
  /// These two override the settings of the route.
  std::optional<duration> max_staleness;
  std::optional<duration> deadline;
  bool idempotent = false;
  /// The caller gave a consistency token, so its reads must reach `min_point`.
  bool has_token = false;
  /// Session name that the caller gave instead of a token.
  std::string session_name;
  /// Log point of the session's writes and of the given token, which reads with
  /// a token or a staleness bound must reach.
  std::optional<log_point> min_point;
  /// Newest log point visible in any response; encoded in the token that the
  /// caller receives.
  std::optional<log_point> latest_point;
};

/// Moves a log point forward; has no effect if `to` is not newer.
void Advance(std::optional<log_point>& point, log_point to);

/// Sets one proxy parameter.
/// @return `kInvalidToken`, `kInvalidSetting` or `kNotFound` with a message for
/// the caller.
[[nodiscard]] result<void> SetParameter(caller_settings& settings,
                                        std::string_view name,
                                        const std::string& value,
                                        const token_codec& codec,
                                        const token_scope& scope);

/// Returns the value of one proxy parameter as text.
[[nodiscard]] result<std::string> ShowParameter(const caller_settings& settings,
                                                std::string_view name,
                                                const token_codec& codec,
                                                const token_scope& scope);

/// Parses `-c name=value` and `--name=value` in the startup parameter
/// `options`.
[[nodiscard]] std::map<std::string, std::string, std::less<>> ParseOptions(
    std::string_view options);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_CALLER_SETTINGS_H_
