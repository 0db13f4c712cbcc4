#ifndef SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_
#define SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/gateway/pooled_connection.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// Builds the batch that runs a statement on a pooled connection: first the
/// session state that the connection lacks, then the statement.

namespace sassafraswick {

/// Statements that are sent together.
struct statement_batch {
  std::string bytes;
  /// Number of responses to expect.
  std::size_t count = 0;
};

/// Formats a statement, preceded by the session state that the connection lacks
/// for it, and records that the connection holds that state.
/// @param after Log position that the target must have reached.
template <session_codec Codec>
[[nodiscard]] statement_batch BuildBatch(
    const session_state& state, pooled_connection<Codec>& connection,
    const statement& query, const std::optional<log_point>& after) {
  prepared_statement_use use;
  if (query.kind == statement_kind::kExecute) {
    use.runs.insert(query.name);
  }
  const session_state_update update =
      state.UpdateFor(connection.carried_state, use);
  statement_batch batch;
  batch.count = 1;
  if (update.reset) {
    batch.bytes += Codec::FormatControl(control_statement::kReset, 0);
    ++batch.count;
  }
  for (const std::vector<std::string>* const texts :
       {&update.variables, &update.prepares}) {
    for (const std::string& text : *texts) {
      batch.bytes += Codec::FormatUpdate(text);
      ++batch.count;
    }
  }
  state.RecordUpdate(connection.carried_state, update, use);
  batch.bytes += Codec::FormatStatement(query.id, query.text, after);
  return batch;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_
