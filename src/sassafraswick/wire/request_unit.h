#ifndef SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
#define SASSAFRASWICK_WIRE_REQUEST_UNIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/session/session_memory.h"
#include "sassafraswick/wire/frame.h"
#include "sassafraswick/wire/statement.h"

/// @file
/// Groups a caller's frames into units that are sent to a target together.

namespace sassafraswick {

/// A simple query, or the extended-protocol frames up to Sync or Flush.
struct request_unit {
  /// All frames in order.
  std::string bytes;
  /// Strongest statement: anything but reads makes the unit a write.
  statement_class combined{statement_kind::kEmpty, "", ""};
  /// Statements in the unit.
  std::uint32_t statement_count = 0;
  /// True for a simple query.
  bool is_simple = false;
  /// The unit ends with Query or Sync, so a ReadyForQuery will follow.
  bool ends_batch = false;
  bool describes = false;
  bool executes = false;
  /// Answers that complete the unit if it ends with Flush.
  std::uint32_t expected_completions = 0;
  /// Prepared statements used but not prepared in the unit, and those that it
  /// prepares. The unnamed one has an empty name.
  memory_use use;
  /// Statements prepared in the unit, in order, each with its Parse frame as
  /// text.
  std::vector<statement> prepared;
  /// Prepared statements closed in the unit, in order.
  std::vector<statement> closed;
};

/// Adds one frame.
/// @param frame The frame.
/// @param raw The frame's bytes with its header.
/// @param known Statements that the session prepared earlier.
/// @return True if the unit is complete; `error_kind::kProtocol` for frames
/// that callers may not send.
[[nodiscard]] result<bool> AddFrame(request_unit& unit, const frame_view& frame,
                                    std::string_view raw,
                                    const session_memory& known);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
