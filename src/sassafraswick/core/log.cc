#include "sassafraswick/core/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <iostream>

namespace sassafraswick {
namespace {

using severity_source = boost::log::sources::severity_logger<log_level>;

/// What every line of this process carries.
struct log_context {
  std::string process = "sassafraswick";
  severity_source source;
};

log_context& Context() {
  static log_context context;
  return context;
}

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
  using backend = sinks::text_ostream_backend;
  boost::shared_ptr<backend> stream = boost::make_shared<backend>();
  stream->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  stream->auto_flush(true);
  boost::shared_ptr<sinks::synchronous_sink<backend>> sink =
      boost::make_shared<sinks::synchronous_sink<backend>>(stream);
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
  BOOST_LOG_SEV(Context().source, level) << boost::json::serialize(line);
}

}  // namespace sassafraswick
