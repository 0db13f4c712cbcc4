#ifndef SASSAFRASWICK_FAILOVER_GROUP_CONTRACT_H_
#define SASSAFRASWICK_FAILOVER_GROUP_CONTRACT_H_

#include <string>
#include <string_view>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/failover/group_state.h"

/// @file
/// SQL functions that report and change the terms of a database group, and the
/// text format of their results.
///
/// `group_status(position, wait_ms)` returns once the log passes the position,
/// the term or role changes, or the wait expires. `group_fence(term)` raises
/// the term and demotes a primary; it is rejected unless the new term is
/// higher. `group_promote(term)` makes an instance primary; the instance must
/// have been fenced at exactly this term.

namespace sassafraswick {

/// Session parameter with the visible log position as `TERM/POSITION`, reported
/// with ReadyForQuery whenever it has changed.
inline constexpr std::string_view kPositionParameter = "group_position";

/// Response to a fence or promote request.
struct control_response {
  bool accepted = false;
  instance_report report;
};

[[nodiscard]] std::string StatusQuery(log_position after,
                                      std::chrono::milliseconds wait);
[[nodiscard]] std::string FenceQuery(term_number term);
[[nodiscard]] std::string PromoteQuery(term_number term);

/// Parses a status response.
/// @return `error_kind::kProtocol` with the name of a missing or invalid field.
[[nodiscard]] result<instance_report> ParseReport(std::string_view text);

/// Parses the response to a fence or promote request.
[[nodiscard]] result<control_response> ParseControlResponse(
    std::string_view text);

/// Parses the value of `kPositionParameter`.
[[nodiscard]] result<log_point> ParsePosition(std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_GROUP_CONTRACT_H_
