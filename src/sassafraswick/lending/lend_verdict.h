#ifndef SASSAFRASWICK_LENDING_LEND_VERDICT_H_
#define SASSAFRASWICK_LENDING_LEND_VERDICT_H_

#include <cstdint>

/// @file
/// A home's verdict on a request for a connection, as in `message.lend_answer`.

namespace sassafraswick {

enum class lend_verdict : std::uint8_t {
  kQueued = 0,
  kGranted = 1,
  /// The request cannot be served in time; nothing was run.
  kRejected = 2,
  /// This host does not lend connections to the instance; another may.
  kNotLending = 3,
};

/// Reads a verdict of a message. One that this build does not know, of a later
/// one, is as good as none.
[[nodiscard]] constexpr lend_verdict ReadVerdict(std::uint32_t value) noexcept {
  const bool known =
      value <= static_cast<std::uint32_t>(lend_verdict::kNotLending);
  return known ? static_cast<lend_verdict>(value) : lend_verdict::kNotLending;
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_LEND_VERDICT_H_
