#include "test/support/pg_client.h"

namespace test_support {
namespace {

std::string TextOf(const char* text) { return text == nullptr ? "" : text; }

std::vector<const char*> Pointers(const std::vector<std::string>& values) {
  std::vector<const char*> pointers;
  pointers.reserve(values.size());
  for (const std::string& value : values) {
    pointers.push_back(value.c_str());
  }
  return pointers;
}

}  // namespace

pg_client::pg_client(const std::string& connection_info)
    : connection_(PQconnectdb(connection_info.c_str()), PQfinish) {
  PQsetNoticeProcessor(
      connection_.get(), [](void*, const char*) {}, nullptr);
}

bool pg_client::IsConnected() const {
  return PQstatus(connection_.get()) == CONNECTION_OK;
}

std::string pg_client::ConnectError() const {
  return TextOf(PQerrorMessage(connection_.get()));
}

pg_answer pg_client::Query(const std::string& sql) {
  return Take(PQexec(connection_.get(), sql.c_str()));
}

pg_answer pg_client::QueryWith(const std::string& sql,
                               const std::vector<std::string>& parameters) {
  const std::vector<const char*> values = Pointers(parameters);
  return Take(PQexecParams(connection_.get(), sql.c_str(),
                           static_cast<int>(values.size()), nullptr,
                           values.data(), nullptr, nullptr, 0));
}

pg_answer pg_client::Prepare(const std::string& name, const std::string& sql) {
  return Take(
      PQprepare(connection_.get(), name.c_str(), sql.c_str(), 0, nullptr));
}

pg_answer pg_client::ExecutePrepared(
    const std::string& name, const std::vector<std::string>& parameters) {
  const std::vector<const char*> values = Pointers(parameters);
  return Take(PQexecPrepared(connection_.get(), name.c_str(),
                             static_cast<int>(values.size()), values.data(),
                             nullptr, nullptr, 0));
}

std::string pg_client::Token() const {
  return TextOf(PQparameterStatus(connection_.get(), "sassafraswick.session"));
}

pg_answer pg_client::Take(PGresult* raw) const {
  const std::unique_ptr<PGresult, void (*)(PGresult*)> owned(raw, PQclear);
  pg_answer answer;
  const ExecStatusType status = PQresultStatus(raw);
  answer.ok = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
  answer.sqlstate = TextOf(PQresultErrorField(raw, PG_DIAG_SQLSTATE));
  answer.message = TextOf(PQresultErrorField(raw, PG_DIAG_MESSAGE_PRIMARY));
  if (!answer.ok && answer.sqlstate.empty()) {
    // After the server's last word and the end of the stream, libpq keeps the
    // text but not the code.
    answer.message = TextOf(PQerrorMessage(connection_.get()));
  }
  answer.hint = TextOf(PQresultErrorField(raw, PG_DIAG_MESSAGE_HINT));
  answer.tag = TextOf(PQcmdStatus(raw));
  for (int i = 0; i < PQntuples(raw); ++i) {
    std::vector<std::optional<std::string>> row;
    row.reserve(static_cast<std::size_t>(PQnfields(raw)));
    for (int j = 0; j < PQnfields(raw); ++j) {
      row.push_back(PQgetisnull(raw, i, j) != 0
                        ? std::optional<std::string>()
                        : std::optional<std::string>(PQgetvalue(raw, i, j)));
    }
    answer.rows.push_back(std::move(row));
  }
  return answer;
}

}  // namespace test_support
