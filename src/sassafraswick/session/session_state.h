#ifndef SASSAFRASWICK_SESSION_SESSION_STATE_H_
#define SASSAFRASWICK_SESSION_SESSION_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sassafraswick/session/statement.h"

/// @file
/// Values and prepared statements of a session, and what a pooled connection
/// must be sent so that it holds what the next statement needs.

namespace sassafraswick {

/// Identifies a session within its host; zero is nobody.
using session_number = std::uint64_t;

/// Whose values and prepared statements a connection holds.
struct connection_session_state {
  session_number owner = 0;
  /// Version of the session up to which the connection holds its values.
  std::uint64_t version = 0;
  /// Version at which each prepared statement was prepared, by name.
  std::map<std::string, std::uint64_t, std::less<>> prepared;
};

/// Names that the next statement needs.
struct prepared_statement_use {
  /// Prepared statements that it runs or describes.
  std::set<std::string> runs;
  /// Prepared statements that it prepares itself.
  std::set<std::string> prepares;
};

/// Statements that bring a connection up to date.
struct session_state_update {
  /// Drop everything that the connection holds first.
  bool reset = false;
  /// Texts that set values, in the order in which they were set.
  std::vector<std::string> variables;
  /// Texts that prepare statements.
  std::vector<std::string> prepares;
};

/// A prepared statement of a session.
struct prepared_statement {
  statement_kind runs = statement_kind::kUnknown;
  /// The statement that prepares it.
  std::string text;
  /// Version of the session that prepared it.
  std::uint64_t version = 0;
};

/// What a session has set and prepared.
class session_state {
 public:
  explicit session_state(session_number owner) noexcept : owner_(owner) {}

  /// Takes over a `kSet`, `kPrepare` or `kDeallocate` statement.
  /// @return False if the statement deallocates an unknown name.
  [[nodiscard]] bool Apply(const statement& change);

  /// Finds a prepared statement.
  /// @return Null if no statement has that name.
  [[nodiscard]] const prepared_statement* FindPrepared(
      const std::string& name) const;

  /// What a connection lacks for a statement.
  [[nodiscard]] session_state_update UpdateFor(
      const connection_session_state& connection,
      const prepared_statement_use& use) const;

  /// Notes that a connection was sent the update for a statement.
  void RecordUpdate(connection_session_state& connection,
                    const session_state_update& update,
                    const prepared_statement_use& use) const;

  /// Notes that a connection has prepared a statement of the session itself.
  void RecordPrepared(connection_session_state& connection,
                      const std::string& name) const;

 private:
  struct session_variable {
    std::string text;
    std::uint64_t version = 0;
  };

  /// Tells whether a connection holds something else under a name in use.
  [[nodiscard]] bool ConflictsWith(const connection_session_state& connection,
                                   const prepared_statement_use& use) const;

  session_number owner_;
  std::uint64_t version_ = 0;
  std::map<std::string, session_variable> variables_;
  std::map<std::string, prepared_statement, std::less<>> prepared_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_STATE_H_
