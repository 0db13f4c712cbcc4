#include "test/support/pg_client.h"

namespace test_support {
namespace {

std::string StringOrEmpty(const char* text) {
  return text == nullptr ? "" : text;
}

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
  return StringOrEmpty(PQerrorMessage(connection_.get()));
}

pg_response pg_client::Query(const std::string& sql) {
  return ToResponse(PQexec(connection_.get(), sql.c_str()));
}

pg_response pg_client::QueryWith(const std::string& sql,
                                 const std::vector<std::string>& parameters) {
  const std::vector<const char*> values = Pointers(parameters);
  return ToResponse(PQexecParams(connection_.get(), sql.c_str(),
                                 static_cast<int>(values.size()), nullptr,
                                 values.data(), nullptr, nullptr, 0));
}

pg_response pg_client::Prepare(const std::string& name,
                               const std::string& sql) {
  return ToResponse(
      PQprepare(connection_.get(), name.c_str(), sql.c_str(), 0, nullptr));
}

pg_response pg_client::ExecutePrepared(
    const std::string& name, const std::vector<std::string>& parameters) {
  const std::vector<const char*> values = Pointers(parameters);
  return ToResponse(PQexecPrepared(connection_.get(), name.c_str(),
                                   static_cast<int>(values.size()),
                                   values.data(), nullptr, nullptr, 0));
}

std::string pg_client::Token() const {
  return StringOrEmpty(
      PQparameterStatus(connection_.get(), "sassafraswick.session"));
}

pg_response pg_client::ToResponse(PGresult* pg_result) const {
  const std::unique_ptr<PGresult, void (*)(PGresult*)> result_owner(pg_result,
                                                                    PQclear);
  pg_response response;
  const ExecStatusType status = PQresultStatus(pg_result);
  response.ok = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
  response.sqlstate =
      StringOrEmpty(PQresultErrorField(pg_result, PG_DIAG_SQLSTATE));
  response.message =
      StringOrEmpty(PQresultErrorField(pg_result, PG_DIAG_MESSAGE_PRIMARY));
  if (!response.ok && response.sqlstate.empty()) {
    // If the server closes the connection after its error, libpq keeps the
    // message but not the SQLSTATE.
    response.message = StringOrEmpty(PQerrorMessage(connection_.get()));
  }
  response.hint =
      StringOrEmpty(PQresultErrorField(pg_result, PG_DIAG_MESSAGE_HINT));
  response.tag = StringOrEmpty(PQcmdStatus(pg_result));
  for (int i = 0; i < PQntuples(pg_result); ++i) {
    std::vector<std::optional<std::string>> row;
    row.reserve(static_cast<std::size_t>(PQnfields(pg_result)));
    for (int j = 0; j < PQnfields(pg_result); ++j) {
      row.push_back(
          PQgetisnull(pg_result, i, j) != 0
              ? std::optional<std::string>()
              : std::optional<std::string>(PQgetvalue(pg_result, i, j)));
    }
    response.rows.push_back(std::move(row));
  }
  return response;
}

}  // namespace test_support
