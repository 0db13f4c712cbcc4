#ifndef SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_
#define SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/gateway/target_link.h"
#include "sassafraswick/session/session_state.h"

/// @file
/// A statement with what has to go ahead of it on a pooled connection.

namespace sassafraswick {

/// Joins what a connection lacks for a statement with the statement.
/// @param after Position that the target must show.
/// @param count Set to the number of answers to expect.
template <session_codec Codec>
[[nodiscard]] std::string BuildBatch(const session_state& memory,
                                     target_link<Codec>& link,
                                     const statement& query,
                                     const std::optional<log_point>& after,
                                     std::size_t& count) {
  prepared_statement_use use;
  if (query.kind == statement_kind::kExecute) {
    use.runs.insert(query.name);
  }
  const session_state_update update = memory.UpdateFor(link.memory, use);
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
  memory.RecordUpdate(link.memory, update, use);
  return bytes + Codec::FormatStatement(query.id, query.text, after);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_STATEMENT_BATCH_H_
