#ifndef TEST_SUPPORT_PG_CLIENT_H_
#define TEST_SUPPORT_PG_CLIENT_H_

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// PostgreSQL client for tests, based on libpq.

namespace test_support {

/// Response to a statement.
struct pg_response {
  bool ok = false;
  /// SQLSTATE of an error; empty if the connection was lost.
  std::string sqlstate;
  std::string message;
  std::string hint;
  std::string tag;
  /// Rows as text; empty for NULL.
  std::vector<std::vector<std::optional<std::string>>> rows;

  /// First value of the first row, or empty.
  [[nodiscard]] std::string Value() const {
    return rows.empty() || rows.front().empty()
               ? ""
               : rows.front().front().value_or("");
  }
};

/// A synchronous connection.
class pg_client {
 public:
  explicit pg_client(const std::string& connection_info);

  [[nodiscard]] bool IsConnected() const;
  [[nodiscard]] std::string ConnectError() const;
  pg_response Query(const std::string& sql);
  pg_response QueryWith(const std::string& sql,
                        const std::vector<std::string>& parameters);
  pg_response Prepare(const std::string& name, const std::string& sql);
  pg_response ExecutePrepared(const std::string& name,
                              const std::vector<std::string>& parameters);
  /// Newest value of `sassafraswick.session` that the server reported.
  [[nodiscard]] std::string Token() const;
  [[nodiscard]] PGconn* Raw() const { return connection_.get(); }

 private:
  [[nodiscard]] pg_response ToResponse(PGresult* result) const;

  std::unique_ptr<PGconn, void (*)(PGconn*)> connection_;
};

}  // namespace test_support

#endif  // TEST_SUPPORT_PG_CLIENT_H_
