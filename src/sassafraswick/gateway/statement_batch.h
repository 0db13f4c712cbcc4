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

/// Formats a statement, preceded by the session state that the connection lacks
/// for it, and records that the connection holds that state.
/// @param after Log position that the target must have reached.
/// @param count Set to the number of responses to expect.
template <session_codec Codec>
[[nodiscard]] std::string BuildBatch(const session_state& state,
                                     pooled_connection<Codec>& connection,
                                     const statement& query,
                                     const std::optional<log_point>& after,
                                     std::size_t& count) {
  prepared_statement_use use;
  if (query.kind == statement_kind::kExecute) {
    use.runs.insert(query.name);
  }
  const session_state_update update =
      state.UpdateFor(connection.carried_state, use);
  std::string bytes;
  count = 1;
  if (update.reset) {
    bytes += Codec::FormatControl(control_statement::kReset, 0);
    ++count;
  }
  for (const std::vector<std::string>* const texts :
       {&update.variables, &update.prepares}) {
    for (const std::string& text : *texts) {
      bytes += Codec::FormatUpdate(text);
      ++count;
    }
  }
  state.RecordUpdate(connection.carried_state, update, use);
  return bytes + Codec::FormatStatement(query.id, query.text, after);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_
