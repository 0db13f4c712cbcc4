#include "sassafraswick/failover/group_contract.h"

#include <charconv>
#include <optional>

namespace sassafraswick {
namespace {

constexpr std::string_view kAcceptedField = "accepted=";

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/// Returns the value of the space-separated field `name=value`, or an empty
/// string.
std::string_view FindField(std::string_view text, std::string_view name) {
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(' ', begin), text.size());
    const std::string_view field = text.substr(begin, end - begin);
    if (field.size() > name.size() && field.starts_with(name) &&
        field[name.size()] == '=') {
      return field.substr(name.size() + 1);
    }
    begin = end + 1;
  }
  return {};
}

error InvalidField(std::string_view name) {
  return MakeError(error_kind::kProtocol, "group status has no valid field '" +
                                              std::string(name) + "'");
}

result<std::uint64_t> NumberField(std::string_view text,
                                  std::string_view name) {
  const std::optional<std::uint64_t> number =
      ParseNumber(FindField(text, name));
  if (!number.has_value()) {
    return InvalidField(name);
  }
  return *number;
}

result<log_point> ParseLogPoint(std::string_view text, char separator) {
  const std::size_t at = text.find(separator);
  if (at != std::string_view::npos) {
    const std::optional<std::uint64_t> term = ParseNumber(text.substr(0, at));
    const std::optional<std::uint64_t> position =
        ParseNumber(text.substr(at + 1));
    if (term.has_value() && position.has_value()) {
      return log_point{*term, *position};
    }
  }
  return MakeError(
      error_kind::kProtocol,
      "'" + std::string(text) +
          "' is not a valid log point: expected a term and a position");
}

result<term_history> ParseHistory(std::string_view text) {
  term_history history;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    BOOST_OUTCOME_TRY(log_point start, ParseLogPoint(text.substr(0, end), ':'));
    history.push_back({start.term, start.position});
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return history;
}

}  // namespace

std::string StatusQuery(log_position after, std::chrono::milliseconds wait) {
  return "SELECT group_status(" + std::to_string(after) + ", " +
         std::to_string(wait.count()) + ")";
}

std::string FenceQuery(term_number term) {
  return "SELECT group_fence(" + std::to_string(term) + ")";
}

std::string PromoteQuery(term_number term) {
  return "SELECT group_promote(" + std::to_string(term) + ")";
}

result<instance_report> ParseReport(std::string_view text) {
  instance_report report;
  BOOST_OUTCOME_TRY(report.term, NumberField(text, "term"));
  const std::string_view role = FindField(text, "role");
  if (role != "primary" && role != "replica") {
    return InvalidField("role");
  }
  report.role =
      role == "primary" ? instance_role::kPrimary : instance_role::kReplica;
  BOOST_OUTCOME_TRY(report.log_end.term, NumberField(text, "log_term"));
  BOOST_OUTCOME_TRY(report.log_end.position, NumberField(text, "received"));
  BOOST_OUTCOME_TRY(report.applied, NumberField(text, "applied"));
  BOOST_OUTCOME_TRY(std::uint64_t lag, NumberField(text, "lag_us"));
  report.lag = duration(lag);
  BOOST_OUTCOME_TRY(std::uint64_t silence,
                    NumberField(text, "primary_silence_us"));
  report.primary_silence = duration(silence);
  BOOST_OUTCOME_TRY(report.history, ParseHistory(FindField(text, "history")));
  return report;
}

result<control_response> ParseControlResponse(std::string_view text) {
  if (!text.starts_with(kAcceptedField)) {
    return InvalidField("accepted");
  }
  control_response response;
  response.accepted = FindField(text, "accepted") == "1";
  BOOST_OUTCOME_TRY(response.report, ParseReport(text));
  return response;
}

result<log_point> ParsePosition(std::string_view text) {
  return ParseLogPoint(text, '/');
}

}  // namespace sassafraswick
