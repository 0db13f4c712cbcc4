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
/// What a session has asked for through `sassafraswick.` parameters.

namespace sassafraswick {

/// Parameter names, in lower case.
namespace parameter {
inline constexpr std::string_view kSession = "sassafraswick.session";
inline constexpr std::string_view kMaxStaleness = "sassafraswick.max_staleness";
inline constexpr std::string_view kIdempotent = "sassafraswick.idempotent";
inline constexpr std::string_view kDeadline = "sassafraswick.deadline";
}  // namespace parameter

/// A session's own settings and its place in the group's log.
struct caller_settings {
  std::optional<duration> max_staleness;
  std::optional<duration> deadline;
  bool idempotent = false;
  /// The caller gave a token, and so takes part in keeping its position.
  bool has_token = false;
  /// Name given instead of a token.
  std::string session_name;
  /// Own writes and the token given: what every read must show.
  std::optional<log_point> min_point;
  /// Newest point that any answer showed; goes into the token handed out.
  std::optional<log_point> latest_point;
};

/// Advances a point.
void Advance(std::optional<log_point>& point, log_point to);

/// Sets one parameter.
/// @return `kInvalidToken`, `kInvalidSetting` or `kNotFound` with the reason.
[[nodiscard]] result<void> SetParameter(caller_settings& settings,
                                        std::string_view name,
                                        const std::string& value,
                                        const token_codec& codec,
                                        const token_scope& scope);

/// Reads one parameter.
[[nodiscard]] result<std::string> ShowParameter(const caller_settings& settings,
                                                std::string_view name,
                                                const token_codec& codec,
                                                const token_scope& scope);

/// Extracts `-c name=value` words from the startup parameter `options`.
[[nodiscard]] std::map<std::string, std::string, std::less<>> ParseOptions(
    std::string_view options);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_CALLER_SETTINGS_H_
