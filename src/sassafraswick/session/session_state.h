#ifndef SASSAFRASWICK_SESSION_SESSION_STATE_H_
#define SASSAFRASWICK_SESSION_SESSION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sassafraswick/session/statement.h"

/// @file
/// Variables and prepared statements of a session, and their transfer to the
/// pooled connection that runs the session's next statement.

namespace sassafraswick {

/// Identifies a session within its host; zero stands for no session.
using session_number = std::uint64_t;

/// Session state that a connection holds.
struct connection_session_state {
  session_number owner = 0;
  /// Version of the session up to which the connection has its variables.
  std::uint64_t version = 0;
  /// Version of the session that prepared each prepared statement, by name.
  std::map<std::string, std::uint64_t, std::less<>> prepared;
};

/// Names of prepared statements that the next statement uses.
struct prepared_statement_use {
  /// Prepared statements that the statement runs or describes.
  std::set<std::string> runs;
  /// Prepared statements that the statement itself prepares.
  std::set<std::string> prepares;
};

/// Statements that transfer missing session state to a connection.
struct session_state_update {
  /// Discard the session state of the connection first.
  bool reset = false;
  /// Statements that set variables, in the order in which they were set.
  std::vector<std::string> variables;
  /// Statements that prepare statements.
  std::vector<std::string> prepares;
};

/// A session's prepared statement.
struct prepared_statement {
  /// Kind of statement that it runs.
  statement_kind runs = statement_kind::kUnknown;
  /// Text that prepares the statement.
  std::string text;
  /// Version of the session that prepared it.
  std::uint64_t version = 0;
};

/// Variables and prepared statements of one session.
class session_state {
 public:
  explicit session_state(session_number owner) noexcept : owner_(owner) {}

  /// Applies a `kSet`, `kPrepare` or `kDeallocate` statement.
  /// @return False if the statement deallocates an unknown name.
  [[nodiscard]] bool Apply(const statement& change);

  /// Finds a prepared statement.
  /// @return Null if no statement has that name.
  [[nodiscard]] const prepared_statement* FindPrepared(
      const std::string& name) const;

  /// Returns the memory that variables and prepared statements occupy.
  [[nodiscard]] std::size_t HeldBytes() const noexcept { return held_bytes_; }

  /// Returns the state that a connection lacks for a statement.
  [[nodiscard]] session_state_update UpdateFor(
      const connection_session_state& connection,
      const prepared_statement_use& use) const;

  /// Records that the update for a statement was sent to a connection.
  void RecordUpdate(connection_session_state& connection,
                    const session_state_update& update,
                    const prepared_statement_use& use) const;

  /// Records that a connection has run the session's own statement that
  /// prepares `name`.
  void RecordPrepared(connection_session_state& connection,
                      const std::string& name) const;

 private:
  struct session_variable {
    std::string text;
    std::uint64_t version = 0;
  };

  /// @return False if no prepared statement has that name.
  bool ErasePrepared(const std::string& name);

  /// Returns whether a connection holds a different prepared statement under a
  /// used name.
  [[nodiscard]] bool ConflictsWith(const connection_session_state& connection,
                                   const prepared_statement_use& use) const;

  session_number owner_;
  std::size_t held_bytes_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, session_variable> variables_;
  std::map<std::string, prepared_statement, std::less<>> prepared_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_STATE_H_
