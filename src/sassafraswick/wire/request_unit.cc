#include "sassafraswick/wire/request_unit.h"

#include <utility>

namespace sassafraswick {
namespace {

error Malformed(const std::string& message_type) {
  return MakeError(error_kind::kProtocol,
                   message_type + " message is malformed");
}

void AddStatement(request_unit& unit, const statement_class& added) {
  ++unit.statement_count;
  if (unit.statement_count == 1) {
    unit.combined = added;
    return;
  }
  const bool unsupported = unit.combined.kind == statement_kind::kUnsupported ||
                           added.kind == statement_kind::kUnsupported;
  const bool reads = unit.combined.kind == statement_kind::kRead &&
                     added.kind == statement_kind::kRead;
  if (unsupported) {
    unit.combined =
        added.kind == statement_kind::kUnsupported ? added : unit.combined;
  } else if (!reads) {
    unit.combined = {statement_kind::kWrite, "", ""};
  }
}

/// Records the use of a prepared statement, and adds its class if it was
/// prepared in an earlier unit.
void AddReference(request_unit& unit, const std::string& name,
                  const session_state& known) {
  const bool is_new =
      !unit.use.prepares.contains(name) && unit.use.runs.insert(name).second;
  const prepared_statement* const found = known.FindPrepared(name);
  if (is_new && found != nullptr) {
    AddStatement(unit, {found->runs, "", ""});
  }
}

result<bool> AddParse(request_unit& unit, const frame_view& frame,
                      std::string_view raw) {
  body_reader reader(frame.body);
  const std::string name(reader.String());
  const std::string_view sql = reader.String();
  if (reader.Failed()) {
    return Malformed("Parse");
  }
  const statement_class added = ClassifyStatement(sql);
  AddStatement(unit, added);
  statement prepared;
  prepared.kind = statement_kind::kPrepare;
  prepared.name = name;
  prepared.prepares = added.kind;
  prepared.text = raw;
  unit.prepared.push_back(std::move(prepared));
  unit.use.prepares.insert(name);
  ++unit.expected_completions;
  return false;
}

result<bool> AddNamedReference(request_unit& unit, const frame_view& frame,
                               const session_state& known) {
  body_reader reader(frame.body);
  if (frame.type == frontend::kBind) {
    static_cast<void>(reader.String());
    AddReference(unit, std::string(reader.String()), known);
  } else {
    const std::string_view kind = reader.Bytes(1);
    const std::string name(reader.String());
    if (kind == "S" && frame.type == frontend::kDescribe) {
      AddReference(unit, name, known);
    } else if (kind == "S") {
      statement closed;
      closed.kind = statement_kind::kDeallocate;
      closed.name = name;
      unit.closed.push_back(std::move(closed));
    }
    unit.describes = unit.describes || frame.type == frontend::kDescribe;
  }
  if (reader.Failed()) {
    return Malformed(frame.type == frontend::kBind ? "Bind"
                                                   : "Describe or Close");
  }
  ++unit.expected_completions;
  return false;
}

result<bool> AddQuery(request_unit& unit, const frame_view& frame) {
  body_reader reader(frame.body);
  const std::string_view sql = reader.String();
  if (reader.Failed() || !reader.Rest().empty()) {
    return Malformed("Query");
  }
  if (unit.statement_count > 0 || unit.expected_completions > 0) {
    return MakeError(error_kind::kProtocol,
                     "Query message inside an extended-protocol batch");
  }
  AddStatement(unit, ClassifyStatement(sql));
  unit.is_simple = true;
  unit.ends_batch = true;
  return true;
}

}  // namespace

result<bool> AddFrame(request_unit& unit, const frame_view& frame,
                      std::string_view raw, const session_state& known) {
  unit.bytes.append(raw);
  switch (frame.type) {
    case frontend::kQuery:
      return AddQuery(unit, frame);
    case frontend::kParse:
      return AddParse(unit, frame, raw);
    case frontend::kBind:
    case frontend::kDescribe:
    case frontend::kClose:
      return AddNamedReference(unit, frame, known);
    case frontend::kExecute:
      unit.executes = true;
      ++unit.expected_completions;
      return false;
    case frontend::kSync:
      unit.ends_batch = true;
      return true;
    case frontend::kFlush:
      return true;
    default:
      return MakeError(error_kind::kProtocol,
                       "message type " +
                           std::to_string(static_cast<int>(frame.type)) +
                           " is not expected from a caller here");
  }
}

}  // namespace sassafraswick
