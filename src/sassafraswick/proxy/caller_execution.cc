#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/wire/message.h"

/// @file
/// Executes a request unit on a target connection: sends the session state that
/// the connection lacks ahead of it, and records the state that it then
/// carries.

namespace sassafraswick {

namespace asio = boost::asio;

std::string caller_session::MakePreamble(const request_unit& unit,
                                         target_connection& connection,
                                         relay_request& expected) const {
  const session_state& state = engine_.SessionState();
  const session_state_update update =
      state.UpdateFor(connection.carried_state, unit.use);
  std::string out;
  if (update.reset) {
    AppendQuery(out, "DISCARD ALL");
    ++expected.proxy_queries;
  }
  std::string variables;
  for (const std::string& text : update.variables) {
    variables += text + ";";
  }
  if (!variables.empty()) {
    AppendQuery(out, variables);
    ++expected.proxy_queries;
  }
  for (const std::string& frame : update.prepares) {
    out += frame;
    ++expected.proxy_parses;
  }
  state.RecordUpdate(connection.carried_state, update, unit.use);
  return out;
}

asio::awaitable<relay_outcome> caller_session::RunUnit(
    const request_unit& unit, const connection_lease& lease,
    bool withhold_completion) {
  relay_request expected;
  expected.until_ready = unit.ends_batch;
  expected.completions = unit.expected_completions;
  expected.withhold_completion = withhold_completion;
  expected.on_replica = !lease.on_primary && !pinned_.has_value();
  target_connection& connection = *lease.connection;
  std::string out = MakePreamble(unit, connection, expected);
  out += unit.bytes;
  relay_outcome outcome;
  const result<void> sent = co_await WriteAll(connection.Socket(), out);
  if (sent) {
    outcome = co_await RelayResponse(connection, stream_, expected);
  } else {
    outcome.end = relay_end::kTargetLost;
  }
  if (outcome.end == relay_end::kComplete) {
    RecordSessionChanges(unit, connection, outcome);
  }
  co_return outcome;
}

void caller_session::RecordSessionChanges(const request_unit& unit,
                                          target_connection& connection,
                                          const relay_outcome& outcome) {
  session_state& state = engine_.SessionState();
  for (std::size_t i = 0; i < outcome.parses_done; ++i) {
    const statement& prepared = unit.prepared.at(i);
    static_cast<void>(state.Apply(prepared));
    state.RecordPrepared(connection.carried_state, prepared.name);
  }
  for (std::size_t i = 0; i < outcome.closes_done && i < unit.closed.size();
       ++i) {
    static_cast<void>(state.Apply(unit.closed[i]));
    connection.carried_state.prepared.erase(unit.closed[i].name);
  }
  const bool sets = unit.combined.kind == statement_kind::kSet &&
                    unit.is_simple && !outcome.failed;
  if (sets) {
    body_reader reader(std::string_view(unit.bytes).substr(kFrameHeaderBytes));
    statement change;
    change.kind = statement_kind::kSet;
    change.name = unit.combined.name;
    change.text = reader.String();
    static_cast<void>(state.Apply(change));
    state.RecordUpdate(connection.carried_state, {}, {});
  }
}

void caller_session::AppendToken(std::string& out) {
  if (!settings_.latest_point.has_value()) {
    return;
  }
  std::string token =
      runtime_.Tokens().Encode(TokenScope(), *settings_.latest_point);
  if (token != sent_token_) {
    AppendParameterStatus(out, parameter::kSession, token);
    sent_token_ = std::move(token);
  }
}

}  // namespace sassafraswick
