#ifndef SASSAFRASWICK_ADMISSION_START_SEQUENCE_H_
#define SASSAFRASWICK_ADMISSION_START_SEQUENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/admission/admission_request.h"
#include "sassafraswick/admission/work_rate.h"
#include "sassafraswick/limits/fair_scheduler.h"

/// @file
/// The order in which waiting statements start at an instance.
///
/// Statements of open transactions come first, because others wait for what
/// they hold. Then the most urgent priority comes first; within it the
/// organisation that has had the least work done, and among its statements the
/// one with the least time left. A less urgent statement that has waited for
/// half of its time may overtake more urgent ones, within a fixed share of the
/// work.

namespace sassafraswick {

/// A statement that waits for a slot.
struct waiting_statement {
  admission_request request;
  time_point submitted_at;
  /// Half of the time until the latest start. From then on the statement may
  /// overtake more urgent ones, and it is no longer displaced.
  time_point aged_at;
  /// Its start was forecast when it had aged.
  bool checked = false;
};

/// Work done at one priority, by organisation.
struct priority_share {
  fair_scheduler organisations;
  std::map<std::string, work_rate> by_organisation;
};

using priority_shares = std::map<std::uint32_t, priority_share>;

/// Work that aged statements have had ahead of more urgent ones, and not made
/// up for yet.
struct ageing_debt {
  /// Fraction of the work that aged statements may have ahead of others.
  static constexpr int kShareDivisor = 8;

  duration owed = duration::zero();

  [[nodiscard]] bool MayOvertake() const noexcept {
    return owed <= duration::zero();
  }
  void RecordStart(duration work, bool overtook) noexcept;
};

/// A statement that is next.
struct next_start {
  /// Index in the waiting statements.
  std::size_t index = 0;
  /// It overtakes a more urgent one.
  bool overtakes = false;
  /// Work that its organisation is ahead of the one served least.
  duration lead = duration::zero();
};

/// Takes waiting statements one after another in the order of their starts.
class start_sequence {
 public:
  /// @param waiting Must outlive this object.
  start_sequence(const std::vector<waiting_statement>& waiting,
                 const priority_shares& shares, ageing_debt debt);

  /// Takes the statement that starts next.
  /// @param at Time of the start.
  /// @return Nothing if none is left.
  [[nodiscard]] std::optional<next_start> Take(time_point at);

 private:
  struct ordered_entry {
    std::size_t index = 0;
    /// Virtual start time among the organisations of its priority.
    std::uint64_t start_tag = 0;
    duration lead = duration::zero();
    bool taken = false;
  };

  void AssignTags(const priority_shares& shares);
  [[nodiscard]] bool Precedes(const ordered_entry& left,
                              const ordered_entry& right) const;
  /// Finds the longest waiting statement that may overtake `front`.
  [[nodiscard]] ordered_entry* FindAged(const ordered_entry& front,
                                        time_point at);

  const std::vector<waiting_statement>& waiting_;
  ageing_debt debt_;
  std::vector<ordered_entry> entries_;
  /// Positions in `entries_`, by `aged_at`.
  std::vector<std::size_t> by_age_;
  std::size_t front_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_START_SEQUENCE_H_
