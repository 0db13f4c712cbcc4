#include "sassafraswick/consistency/primary_view.h"

#include <algorithm>

namespace sassafraswick {
namespace {

/// Starts over with a new term. What was proved of the old one is void.
void EnterTerm(primary_view& view, term_number term) {
  view = primary_view();
  view.term = term;
}

}  // namespace

bool RecordPrimary(primary_view& view, const std::string& instance,
                   term_number term) {
  if (term < view.term || (term == view.term && view.primary == instance)) {
    return false;
  }
  if (term > view.term) {
    EnterTerm(view, term);
  }
  view.primary = instance;
  return true;
}

bool RecordFollower(primary_view& view, const std::string& instance,
                    term_number term) {
  if (term > view.term) {
    EnterTerm(view, term);
    return true;
  }
  if (!view.primary.empty() && view.primary == instance) {
    view.primary.clear();
    return true;
  }
  return false;
}

void RecordProof(primary_view& view, term_number term, time_point asked_at) {
  if (term == view.term) {
    view.proved_at = std::max(view.proved_at.value_or(asked_at), asked_at);
  }
}

void RecordPosition(primary_view& view, const std::string& instance,
                    log_point position, time_point asked_at) {
  const bool newer =
      !view.position.has_value() || asked_at > view.position_asked_at;
  if (view.primary == instance && position.term == view.term && newer) {
    view.position = position;
    view.position_asked_at = asked_at;
  }
}

bool IsPermitted(const primary_view& view, const std::string& instance,
                 term_number term, time_point now) {
  return !instance.empty() && view.primary == instance && view.term == term &&
         view.proved_at.has_value() && now < *view.proved_at + kPermitWindow;
}

std::optional<log_point> ProvedPosition(const primary_view& view,
                                        time_point moment) {
  if (!view.position.has_value() || !view.proved_at.has_value()) {
    return std::nullopt;
  }
  const time_point complete_until =
      std::min(view.position_asked_at, *view.proved_at + kPermitWindow);
  return complete_until >= moment ? view.position : std::nullopt;
}

}  // namespace sassafraswick
