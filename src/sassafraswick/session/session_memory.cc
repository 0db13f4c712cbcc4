#include "sassafraswick/session/session_memory.h"

#include <utility>

namespace sassafraswick {
namespace {

/// Changes kept for connections that hold an older version. A connection that
/// is further behind is reset, which costs a few more statements.
constexpr std::size_t kChangesKept = 16;

}  // namespace

bool session_memory::Apply(const statement& change) {
  switch (change.kind) {
    case statement_kind::kSet:
      values_[change.name] = change.text;
      break;
    case statement_kind::kPrepare:
      prepared_[change.name] = {change.prepares_write, change.text};
      break;
    case statement_kind::kDeallocate:
      if (prepared_.erase(change.name) == 0) {
        return false;
      }
      break;
    default:
      return false;
  }
  ++version_;
  changes_.push_back(change.text);
  if (changes_.size() > kChangesKept) {
    changes_.pop_front();
  }
  return true;
}

const bool* session_memory::FindPrepared(const std::string& name) const {
  const auto found = prepared_.find(name);
  return found == prepared_.end() ? nullptr : &found->second.writes;
}

memory_update session_memory::UpdateFor(
    const connection_memory& connection) const {
  memory_update update;
  const std::uint64_t missing = version_ - connection.version;
  if (connection.owner == owner_ && missing <= changes_.size()) {
    const std::size_t first = changes_.size() - missing;
    for (std::size_t i = first; i < changes_.size(); ++i) {
      update.texts.push_back(changes_[i]);
    }
    return update;
  }
  update.reset = connection.owner != 0;
  update.texts = Snapshot();
  return update;
}

std::vector<std::string> session_memory::Snapshot() const {
  std::vector<std::string> texts;
  for (const std::pair<const std::string, std::string>& value : values_) {
    texts.push_back(value.second);
  }
  for (const std::pair<const std::string, prepared_statement>& entry :
       prepared_) {
    texts.push_back(entry.second.text);
  }
  return texts;
}

}  // namespace sassafraswick
