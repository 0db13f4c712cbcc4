#include "sassafraswick/core/log.h"

#include <poll.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <climits>
#include <functional>
#include <map>
#include <optional>

#include "sassafraswick/core/log_rate_limiter.h"

namespace sassafraswick {
namespace {

using severity_source = boost::log::sources::severity_logger<log_level>;

/// Maximum length of a line. A pipe that polls as writable accepts this many
/// bytes without blocking.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

/// Logging state of the process.
struct log_context {
  std::string process = "sassafraswick";
  severity_source source;
  std::map<std::string, log_rate_limiter, std::less<>> rate_limiters;
  std::uint64_t dropped = 0;
};

log_context& Context() {
  static log_context context;
  return context;
}

/// Writes a line to standard output, or drops it if that would block.
void WriteLine(std::string line) {
  constexpr std::string_view kTruncated = "\"cut\"\n";
  line += '\n';
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - kTruncated.size());
    line += kTruncated;
  }
  pollfd ready{STDOUT_FILENO, POLLOUT, 0};
  const bool writable =
      poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  const bool written =
      writable && write(STDOUT_FILENO, line.data(), line.size()) > 0;
  if (!written) {
    ++Context().dropped;
  }
}

/// Boost.Log sink that writes formatted lines to standard output.
class output_backend : public boost::log::sinks::basic_formatted_sink_backend<
                           char, boost::log::sinks::synchronized_feeding> {
 public:
  // Boost.Log calls this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const string_type& line) {
    WriteLine(line);
  }
};

std::string_view LevelName(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace

void StartLogging(const std::string& process, log_level minimum) {
  namespace sinks = boost::log::sinks;
  Context().process = process;
  boost::shared_ptr<sinks::synchronous_sink<output_backend>> sink =
      boost::make_shared<sinks::synchronous_sink<output_backend>>(
          boost::make_shared<output_backend>());
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
  SetLogLevel(minimum);
}

void SetLogLevel(log_level minimum) {
  boost::log::core::get()->set_filter(
      boost::log::expressions::attr<log_level>("Severity") >= minimum);
}

log_level ParseLogLevel(std::string_view text) {
  for (const log_level level :
       {log_level::kDebug, log_level::kWarning, log_level::kError}) {
    if (text == LevelName(level)) {
      return level;
    }
  }
  return log_level::kInfo;
}

void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields) {
  const auto known = Context().rate_limiters.find(event);
  log_rate_limiter& limiter = known == Context().rate_limiters.end()
                                  ? Context().rate_limiters[std::string(event)]
                                  : known->second;
  const std::optional<std::uint64_t> dropped =
      limiter.TryWrite(monotonic_clock::now());
  if (!dropped.has_value()) {
    ++Context().dropped;
    return;
  }
  using wall_clock = std::chrono::system_clock;
  const std::chrono::milliseconds since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          wall_clock::now().time_since_epoch());
  boost::json::object line;
  line["time_unix_ms"] = since_epoch.count();
  line["level"] = LevelName(level);
  line["process"] = Context().process;
  line["event"] = event;
  for (const log_field& field : fields) {
    line[field.name] = field.value;
  }
  if (*dropped > 0) {
    line["left_out"] = *dropped;
  }
  BOOST_LOG_SEV(Context().source, level) << boost::json::serialize(line);
}

std::uint64_t LogLinesDropped() { return Context().dropped; }

}  // namespace sassafraswick
