#ifndef SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
#define SASSAFRASWICK_WIRE_REQUEST_UNIT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/wire/frame.h"
#include "sassafraswick/wire/statement.h"

/// @file
/// Groups a caller's frames into units that are sent to a target together.

namespace sassafraswick {

/// A statement that a caller prepared, kept so that it can be prepared again
/// on another connection.
struct prepared_statement {
  /// The whole Parse frame.
  std::string frame;
  statement_class statement;
};

/// Prepared statements by name; the unnamed one has an empty name.
using prepared_map = std::map<std::string, prepared_statement, std::less<>>;

/// A simple query, or the extended-protocol frames up to Sync or Flush.
struct request_unit {
  /// All frames in order.
  std::string bytes;
  /// Strongest statement: anything but reads makes the unit a write.
  statement_class statement{statement_kind::kEmpty, "", ""};
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
  /// Prepared statements used but not prepared in the unit.
  std::set<std::string> references;
  /// Statements prepared in the unit.
  prepared_map prepared;
  /// Names of statements prepared in the unit, in order.
  std::vector<std::string> prepared_order;
  /// Prepared statements closed in the unit.
  std::vector<std::string> closed;
};

/// Adds one frame.
/// @param frame The frame.
/// @param raw The frame's bytes with its header.
/// @param known Statements that the session prepared earlier.
/// @return True if the unit is complete; `error_kind::kProtocol` for frames
/// that callers may not send.
[[nodiscard]] result<bool> AddFrame(request_unit& unit, const frame_view& frame,
                                    std::string_view raw,
                                    const prepared_map& known);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_REQUEST_UNIT_H_
