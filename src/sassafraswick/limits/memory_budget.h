#ifndef SASSAFRASWICK_LIMITS_MEMORY_BUDGET_H_
#define SASSAFRASWICK_LIMITS_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

/// @file
/// Bounds the bytes that a process holds for all its callers together.

namespace sassafraswick {

/// Holdings up to this size are not counted. The number of sessions bounds
/// their sum.
inline constexpr std::size_t kUncountedBytes = 8192;

/// Records what each caller's session holds, and selects the session to close
/// while the sum is over the capacity.
class memory_budget {
 public:
  using holder_id = std::uint64_t;

  explicit memory_budget(std::size_t capacity) noexcept : capacity_(capacity) {}

  /// Records what a session holds.
  /// @param may_close Whether closing the session is allowed at the moment.
  void Set(holder_id holder, std::size_t bytes, bool may_close);

  void Remove(holder_id holder) { Set(holder, 0, false); }

  /// Selects the session to close: of those that may be closed and whose
  /// holdings are of the largest size class, the one whose record changed least
  /// recently. A size class spans a factor of two.
  /// @return Nothing while the sum is within the capacity, or if no counted
  /// session may be closed.
  [[nodiscard]] std::optional<holder_id> FindExcess() const;

  /// Returns whether the sum is over the capacity.
  [[nodiscard]] bool IsExceeded() const noexcept { return used_ > capacity_; }

  /// Sum of the counted holdings.
  [[nodiscard]] std::size_t Used() const noexcept { return used_; }

 private:
  struct holding {
    std::size_t bytes = 0;
    /// Number of the change that recorded it.
    std::uint64_t change = 0;
    bool may_close = false;
  };

  std::size_t capacity_;
  std::size_t used_ = 0;
  std::uint64_t last_change_ = 0;
  std::unordered_map<holder_id, holding> holdings_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_MEMORY_BUDGET_H_
