#ifndef SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
#define SASSAFRASWICK_WIRE_REQUEST_UNIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/session/session_state.h"
#include "sassafraswick/wire/frame.h"
#include "sassafraswick/wire/statement.h"

/// @file
/// Groups the frames of a caller into units that are sent to a target together.

namespace sassafraswick {

/// A simple query, or the extended-protocol messages up to a Sync or Flush.
struct request_unit {
  /// The frames of the unit, in order.
  std::string bytes;
  /// Combined class of the unit's statements: unsupported if any of them is,
  /// else a write unless all are reads. A single statement keeps its class.
  statement_class combined{statement_kind::kEmpty, "", ""};
  /// Number of statements in the unit.
  std::uint32_t statement_count = 0;
  bool is_simple = false;
  /// The unit ends with Query or Sync, so the response ends with ReadyForQuery.
  bool ends_batch = false;
  bool describes = false;
  bool executes = false;
  /// Number of messages that complete the response if the unit ends with Flush.
  std::uint32_t expected_completions = 0;
  /// Prepared statements that the unit uses without preparing them, and those
  /// that it prepares. The unnamed statement has an empty name.
  prepared_statement_use use;
  /// Statements prepared in the unit, in order; `text` is the Parse frame.
  std::vector<statement> prepared;
  /// Prepared statements closed in the unit, in order.
  std::vector<statement> closed;
};

/// Adds a frame to a unit.
/// @param raw The bytes of the frame, including its header.
/// @param known Session state with the statements prepared in earlier units.
/// @return True if the unit is complete; `error_kind::kProtocol` for malformed
/// frames and for those that callers may not send.
[[nodiscard]] result<bool> AddFrame(request_unit& unit, const frame_view& frame,
                                    std::string_view raw,
                                    const session_state& known);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
