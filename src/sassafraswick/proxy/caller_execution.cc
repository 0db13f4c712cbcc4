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
  std::string out;
  if (connection.owner != id_) {
    if (connection.owner != 0) {
      AppendQuery(out, "DISCARD ALL");
      ++expected.own_queries;
      connection.prepared.clear();
    }
    std::string replayed;
    for (const std::pair<const std::string, std::string>& entry :
         set_statements_) {
      replayed += entry.second + ";";
    }
    if (!replayed.empty()) {
      AppendQuery(out, replayed);
      ++expected.own_queries;
    }
    connection.owner = id_;
  }
  for (const std::string& name : unit.references) {
    const auto found = prepared_.find(name);
    if (found != prepared_.end() && !connection.prepared.contains(name)) {
      out += found->second.frame;
      ++expected.own_parses;
    }
  }
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
    RecordPrepared(unit, connection, outcome);
  }
  co_return outcome;
}

void caller_session::RecordPrepared(const request_unit& unit,
                                    target_connection& connection,
                                    const relay_outcome& outcome) {
  for (const std::string& name : unit.references) {
    connection.prepared.insert(name);
  }
  for (std::size_t i = 0; i < outcome.parses_done; ++i) {
    const std::string& name = unit.prepared_order.at(i);
    prepared_[name] = unit.prepared.at(name);
    connection.prepared.insert(name);
  }
  for (std::size_t i = 0; i < outcome.closes_done && i < unit.closed.size();
       ++i) {
    prepared_.erase(unit.closed[i]);
    connection.prepared.erase(unit.closed[i]);
  }
  if (unit.statement.kind == statement_kind::kSet && unit.is_simple &&
      !outcome.failed) {
    body_reader reader(std::string_view(unit.bytes).substr(kFrameHeaderSize));
    set_statements_[unit.statement.name] = std::string(reader.String());
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
