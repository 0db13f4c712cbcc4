#ifndef SASSAFRASWICK_CORE_LOG_H_
#define SASSAFRASWICK_CORE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// @file
/// Structured logging, one JSON object per line. Callers must not log keys or
/// statement text.

namespace sassafraswick {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One named field of a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

/// Starts logging to standard output. Writing never blocks: lines are dropped
/// and counted while the output is not writable and when an event exceeds its
/// rate limit.
/// @param process Process name in every line.
/// @param minimum Lines below this level are discarded.
void StartLogging(const std::string& process, log_level minimum);

/// Changes the minimum level.
void SetLogLevel(log_level minimum);

/// Parses `debug`, `info`, `warning` or `error`; anything else is `kInfo`.
[[nodiscard]] log_level ParseLogLevel(std::string_view text);

/// Writes one line.
/// @param event Constant name of the event, by which lines are rate limited.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields = {});

/// Number of lines dropped since the process started.
[[nodiscard]] std::uint64_t LogLinesDropped();

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_H_
