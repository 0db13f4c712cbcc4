#include "sassafraswick/lending/capacity_entry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

#include "sassafraswick/lending/instance_home.h"

namespace sassafraswick {
namespace {

constexpr std::string_view kCoresField = "cores=";
constexpr std::string_view kZoneField = "zone=";
constexpr char kSeparator = ' ';

/// Returns the number of cores, or 0 if the text is not a number.
double ParseCores(std::string_view text) {
  double cores = 0.0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, cores);
  return read.ec == std::errc() && read.ptr == end ? cores : 0.0;
}

}  // namespace

std::string FormatCapacityEntry(const host_capacity& capacity) {
  constexpr std::size_t kMaxNumberLength = 32;
  std::array<char, kMaxNumberLength> cores{};
  const std::to_chars_result written =
      std::to_chars(cores.data(), cores.data() + cores.size(), capacity.cores);
  std::string text(kCoresField);
  text.append(cores.data(), written.ptr);
  text += kSeparator;
  text += kZoneField;
  text += capacity.availability_zone;
  return text;
}

result<host_capacity> ParseCapacityEntry(std::string_view text) {
  host_capacity capacity;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(kSeparator), text.size());
    const std::string_view field = text.substr(0, end);
    if (field.starts_with(kCoresField)) {
      capacity.cores = ParseCores(field.substr(kCoresField.size()));
    } else if (field.starts_with(kZoneField)) {
      capacity.availability_zone = field.substr(kZoneField.size());
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  if (!IsUsableCapacity(capacity.cores)) {
    return MakeError(error_kind::kProtocol, "no usable number of cores");
  }
  if (capacity.availability_zone.empty()) {
    return MakeError(error_kind::kProtocol, "no availability zone");
  }
  return capacity;
}

}  // namespace sassafraswick
