#ifndef SASSAFRASWICK_FAILOVER_GROUP_PROTOCOL_H_
#define SASSAFRASWICK_FAILOVER_GROUP_PROTOCOL_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// The SQL functions through which a database group shows and changes its
/// terms, and the text of their answers.
///
/// `group_status(position, wait_ms)` answers once the log passes the position,
/// the term or role change, or the wait ends. `group_fence(term)` raises the
/// term, ends the primary's role and is refused unless the term is higher.
/// `group_promote(term)` makes an instance primary that was fenced at exactly
/// this term.

namespace sassafraswick {

/// Parameter that reports `TERM/POSITION` visible to the session, sent with
/// ReadyForQuery whenever it changed.
inline constexpr std::string_view kPositionParameter = "group_position";

/// Answer to a fence or promote request.
struct control_response {
  bool accepted = false;
  instance_report report;
};

[[nodiscard]] std::string StatusQuery(log_position after,
                                      std::chrono::milliseconds wait);
[[nodiscard]] std::string FenceQuery(term_number term);
[[nodiscard]] std::string PromoteQuery(term_number term);

/// Parses a status answer.
/// @return `error_kind::kProtocol` naming the field that is missing or bad.
[[nodiscard]] result<instance_report> ParseReport(std::string_view text);

/// Parses a fence or promote answer.
[[nodiscard]] result<control_response> ParseControlAnswer(
    std::string_view text);

/// Parses the value of `kPositionParameter`.
[[nodiscard]] result<log_point> ParsePosition(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_GROUP_PROTOCOL_H_
