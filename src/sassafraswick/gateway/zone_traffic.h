#ifndef SASSAFRASWICK_GATEWAY_ZONE_TRAFFIC_H_
#define SASSAFRASWICK_GATEWAY_ZONE_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// @file
/// Counts the bytes that this host exchanges with other availability zones, by
/// kind: the body of a message between hosts, or `instance`. Headers below
/// TCP are not counted.

namespace sassafraswick {

struct traffic_count {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

class zone_traffic {
 public:
  void Record(std::string_view kind, std::size_t bytes) {
    const auto found = counts_.find(kind);
    traffic_count& count =
        found != counts_.end() ? found->second : counts_[std::string(kind)];
    ++count.messages;
    count.bytes += bytes;
  }

  [[nodiscard]] const std::map<std::string, traffic_count, std::less<>>&
  Counts() const noexcept {
    return counts_;
  }

 private:
  std::map<std::string, traffic_count, std::less<>> counts_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_ZONE_TRAFFIC_H_
