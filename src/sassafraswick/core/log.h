#ifndef SASSAFRASWICK_CORE_LOG_H_
#define SASSAFRASWICK_CORE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// @file
/// JSON-lines logging. Keys and statement text are never passed to it.

namespace sassafraswick {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One named field of a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

/// Starts logging to standard output. Writing never blocks: what nobody reads,
/// and what one event writes beyond its rate, is left out and counted.
/// @param process Name put into every line.
/// @param minimum Lines below this level are dropped.
void StartLogging(const std::string& process, log_level minimum);

/// Changes the least level that is logged.
void SetLogLevel(log_level minimum);

/// Parses `debug`, `info`, `warning` or `error`; anything else is `kInfo`.
[[nodiscard]] log_level ParseLogLevel(std::string_view text);

/// Writes one line.
/// @param level Severity.
/// @param event Short fixed name of what happened.
/// @param fields Details.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields = {});

/// Lines left out so far.
[[nodiscard]] std::uint64_t LogLinesDropped();

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_LOG_H_
