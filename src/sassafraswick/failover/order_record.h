#ifndef SASSAFRASWICK_FAILOVER_ORDER_RECORD_H_
#define SASSAFRASWICK_FAILOVER_ORDER_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "sassafraswick/failover/replacement_state.h"

/// @file
/// What the shared store keeps of a requested promotion, so that the next
/// holder of the failover lease knows of it.

namespace sassafraswick {

/// A promotion that an earlier holder of the failover lease requested.
struct order_record {
  std::string instance;
  /// How often it was requested.
  unsigned requests = 0;
};

[[nodiscard]] std::string FormatOrderRecord(const promotion_order& order);

/// @return Nothing if the text is no record.
[[nodiscard]] std::optional<order_record> ParseOrderRecord(
    std::string_view text);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_ORDER_RECORD_H_
