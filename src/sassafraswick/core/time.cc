#include "sassafraswick/core/time.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace sassafraswick {
namespace {

struct duration_unit {
  std::string_view name;
  duration length;
};

constexpr std::array<duration_unit, 5> kUnits{{
    {"h", std::chrono::hours(1)},
    {"min", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"us", std::chrono::microseconds(1)},
}};

}  // namespace

result<duration> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, count);
  const std::string_view unit_name(parsed.ptr,
                                   static_cast<std::size_t>(end - parsed.ptr));
  for (const duration_unit& unit : kUnits) {
    const std::int64_t limit = duration::max().count() / unit.length.count();
    if (parsed.ec == std::errc() && unit.name == unit_name && count >= 0 &&
        count <= limit) {
      return duration(count * unit.length.count());
    }
  }
  return MakeError(error_kind::kInvalidSetting,
                   "duration '" + std::string(text) +
                       "' is not a whole number followed by us, ms, s, min "
                       "or h");
}

std::string FormatDuration(duration value) {
  for (const duration_unit& unit : kUnits) {
    if (value.count() != 0 && value.count() % unit.length.count() == 0) {
      return std::to_string(value.count() / unit.length.count()) +
             std::string(unit.name);
    }
  }
  return std::to_string(value.count()) + "us";
}

}  // namespace sassafraswick
