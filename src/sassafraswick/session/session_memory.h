#ifndef SASSAFRASWICK_SESSION_SESSION_MEMORY_H_
#define SASSAFRASWICK_SESSION_SESSION_MEMORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sassafraswick/session/statement.h"

/// @file
/// Values and prepared statements of a session, and what a pooled connection
/// must be sent so that it holds the same.

namespace sassafraswick {

/// Identifies a session within its host; zero is nobody.
using session_number = std::uint64_t;

/// Whose values and prepared statements a connection holds.
struct connection_memory {
  session_number owner = 0;
  std::uint64_t version = 0;

  friend bool operator==(const connection_memory&,
                         const connection_memory&) = default;
};

/// Statements that bring a connection up to date.
struct memory_update {
  /// Drop everything that the connection holds first.
  bool reset = false;
  std::vector<std::string> texts;
};

/// What a session has set and prepared.
class session_memory {
 public:
  explicit session_memory(session_number owner) noexcept : owner_(owner) {}

  /// Takes over a `kSet`, `kPrepare` or `kDeallocate` statement.
  /// @return False if the statement deallocates an unknown name.
  [[nodiscard]] bool Apply(const statement& change);

  /// Finds out whether a prepared statement writes.
  /// @return Null if no statement has that name.
  [[nodiscard]] const bool* FindPrepared(const std::string& name) const;

  /// What a connection lacks.
  [[nodiscard]] memory_update UpdateFor(
      const connection_memory& connection) const;

  /// What a connection holds once the update was applied.
  [[nodiscard]] connection_memory Current() const noexcept {
    return {owner_, version_};
  }

 private:
  struct prepared_statement {
    bool writes = false;
    std::string text;
  };

  [[nodiscard]] std::vector<std::string> Snapshot() const;

  session_number owner_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::string> values_;
  std::map<std::string, prepared_statement> prepared_;
  /// Texts of the last changes; the newest led to `version_`.
  std::deque<std::string> changes_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_SESSION_SESSION_MEMORY_H_
