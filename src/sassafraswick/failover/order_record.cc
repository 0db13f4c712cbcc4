#include "sassafraswick/failover/order_record.h"

#include <charconv>

namespace sassafraswick {

std::string FormatOrderRecord(const promotion_order& order) {
  return std::to_string(order.requests) + " " + order.instance;
}

std::optional<order_record> ParseOrderRecord(std::string_view text) {
  const std::size_t blank = text.find(' ');
  if (blank == std::string_view::npos) {
    return std::nullopt;
  }
  order_record record;
  const char* const end = text.data() + blank;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, record.requests);
  record.instance = text.substr(blank + 1);
  const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                        record.requests > 0 && !record.instance.empty();
  return is_valid ? std::optional<order_record>(record) : std::nullopt;
}

}  // namespace sassafraswick
