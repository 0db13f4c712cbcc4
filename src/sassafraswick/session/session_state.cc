#include "sassafraswick/session/session_state.h"

#include <algorithm>
#include <utility>

namespace sassafraswick {
namespace {

/// Returns the memory that a variable or prepared statement occupies.
std::size_t EntryBytes(const std::string& name, const std::string& text) {
  constexpr std::size_t kNodeBytes = 128;
  return kNodeBytes + name.size() + text.size();
}

}  // namespace

bool session_state::Apply(const statement& change) {
  switch (change.kind) {
    case statement_kind::kSet: {
      const auto known = variables_.find(change.name);
      if (known != variables_.end()) {
        held_bytes_ -= EntryBytes(change.name, known->second.text);
      }
      held_bytes_ += EntryBytes(change.name, change.text);
      variables_[change.name] = {change.text, ++version_};
      return true;
    }
    case statement_kind::kPrepare:
      ErasePrepared(change.name);
      held_bytes_ += EntryBytes(change.name, change.text);
      prepared_[change.name] = {change.prepares, change.text, ++version_};
      return true;
    case statement_kind::kDeallocate:
      return ErasePrepared(change.name);
    default:
      return false;
  }
}

bool session_state::ErasePrepared(const std::string& name) {
  const auto known = prepared_.find(name);
  if (known == prepared_.end()) {
    return false;
  }
  held_bytes_ -= EntryBytes(name, known->second.text);
  prepared_.erase(known);
  return true;
}

const prepared_statement* session_state::FindPrepared(
    const std::string& name) const {
  const auto found = prepared_.find(name);
  return found == prepared_.end() ? nullptr : &found->second;
}

bool session_state::ConflictsWith(const connection_session_state& connection,
                                  const prepared_statement_use& use) const {
  const bool holds_other_version = std::any_of(
      use.runs.begin(), use.runs.end(),
      [this, &connection](const std::string& name) {
        const prepared_statement* const known = FindPrepared(name);
        const auto held = connection.prepared.find(name);
        return known != nullptr && held != connection.prepared.end() &&
               held->second != known->version;
      });
  // The session deallocated the name over another connection, so it still
  // exists on this one.
  const bool name_in_use =
      std::any_of(use.prepares.begin(), use.prepares.end(),
                  [this, &connection](const std::string& name) {
                    return FindPrepared(name) == nullptr &&
                           connection.prepared.contains(name);
                  });
  return holds_other_version || name_in_use;
}

session_state_update session_state::UpdateFor(
    const connection_session_state& connection,
    const prepared_statement_use& use) const {
  session_state_update update;
  const bool is_owner = connection.owner == owner_;
  const bool start_over = !is_owner || ConflictsWith(connection, use);
  update.reset = start_over && connection.owner != 0;
  std::vector<session_variable> missing;
  for (const std::pair<const std::string, session_variable>& value :
       variables_) {
    if (start_over || value.second.version > connection.version) {
      missing.push_back(value.second);
    }
  }
  std::sort(missing.begin(), missing.end(),
            [](const session_variable& left, const session_variable& right) {
              return left.version < right.version;
            });
  for (session_variable& value : missing) {
    update.variables.push_back(std::move(value.text));
  }
  for (const std::string& name : use.runs) {
    const prepared_statement* const known = FindPrepared(name);
    if (known != nullptr &&
        (start_over || !connection.prepared.contains(name))) {
      update.prepares.push_back(known->text);
    }
  }
  return update;
}

void session_state::RecordUpdate(connection_session_state& connection,
                                 const session_state_update& update,
                                 const prepared_statement_use& use) const {
  if (update.reset) {
    connection.prepared.clear();
  }
  connection.owner = owner_;
  connection.version = version_;
  for (const std::string& name : use.runs) {
    RecordPrepared(connection, name);
  }
}

void session_state::RecordPrepared(connection_session_state& connection,
                                   const std::string& name) const {
  const prepared_statement* const known = FindPrepared(name);
  if (known != nullptr) {
    connection.prepared[name] = known->version;
  }
}

}  // namespace sassafraswick
