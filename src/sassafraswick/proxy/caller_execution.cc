#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/wire/message.h"

/// @file
/// Running a unit over a connection: what goes ahead of it, and what the
/// connection then carries.

namespace sassafraswick {

namespace asio = boost::asio;

std::string caller_session::Prefix(const request_unit& unit,
                                   target_connection& connection,
                                   relay_request& expected) const {
  const session_state& memory = engine_.SessionState();
  const session_state_update update =
      memory.UpdateFor(connection.memory, unit.use);
  std::string out;
  if (update.reset) {
    AppendQuery(out, "DISCARD ALL");
    ++expected.own_queries;
  }
  std::string variables;
  for (const std::string& text : update.variables) {
    variables += text + ";";
  }
  if (!variables.empty()) {
    AppendQuery(out, variables);
    ++expected.own_queries;
  }
  for (const std::string& frame : update.prepares) {
    out += frame;
    ++expected.own_parses;
  }
  memory.RecordUpdate(connection.memory, update, unit.use);
  return out;
}

asio::awaitable<relay_outcome> caller_session::RunUnit(
    const request_unit& unit, const connection_lease& lease, bool hold) {
  relay_request expected;
  expected.until_ready = unit.ends_batch;
  expected.completions = unit.expected_completions;
  expected.hold_completion = hold;
  expected.on_replica = !lease.on_primary && !pinned_.has_value();
  target_connection& connection = *lease.connection;
  std::string out = Prefix(unit, connection, expected);
  out += unit.bytes;
  relay_outcome outcome;
  const result<void> sent = co_await WriteAll(connection.Socket(), out);
  if (sent) {
    outcome = co_await RelayResponse(connection, stream_, expected);
  } else {
    outcome.end = relay_end::kTargetLost;
  }
  if (outcome.end == relay_end::kComplete) {
    RecordChanges(unit, connection, outcome);
  }
  co_return outcome;
}

void caller_session::RecordChanges(const request_unit& unit,
                                   target_connection& connection,
                                   const relay_outcome& outcome) {
  session_state& memory = engine_.SessionState();
  for (std::size_t i = 0; i < outcome.parses_done; ++i) {
    const statement& prepared = unit.prepared.at(i);
    static_cast<void>(memory.Apply(prepared));
    memory.RecordPrepared(connection.memory, prepared.name);
  }
  for (std::size_t i = 0; i < outcome.closes_done && i < unit.closed.size();
       ++i) {
    static_cast<void>(memory.Apply(unit.closed[i]));
    connection.memory.prepared.erase(unit.closed[i].name);
  }
  const bool sets = unit.leading.kind == statement_kind::kSet &&
                    unit.is_simple && !outcome.failed;
  if (sets) {
    body_reader reader(std::string_view(unit.bytes).substr(kFrameHeaderSize));
    statement change;
    change.kind = statement_kind::kSet;
    change.name = unit.leading.name;
    change.text = reader.String();
    static_cast<void>(memory.Apply(change));
    memory.RecordUpdate(connection.memory, {}, {});
  }
}

void caller_session::AppendToken(std::string& out) {
  if (!settings_.seen.has_value()) {
    return;
  }
  std::string token = runtime_.Tokens().Encode(Scope(), *settings_.seen);
  if (token != sent_token_) {
    AppendParameterStatus(out, parameter::kSession, token);
    sent_token_ = std::move(token);
  }
}

}  // namespace sassafraswick
