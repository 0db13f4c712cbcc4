#ifndef SASSAFRASWICK_LENDING_LEASE_TABLE_H_
#define SASSAFRASWICK_LENDING_LEASE_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// The leases that a home has given to other hosts: numbering, expiry, and
/// limits on what they may occupy.

namespace sassafraswick {

/// Leases that one host may have at once, requests that wait included.
inline constexpr std::size_t kMaxLeasesPerHost = 512;
inline constexpr std::size_t kMaxLeases = 4096;
/// Bytes of statements that wait or run at a home.
inline constexpr std::size_t kMaxLentBytesPerHost = 8'388'608;
inline constexpr std::size_t kMaxLentBytes = 33'554'432;

/// A lease; numbered by the host that asked for it, anew in each of its boots.
struct lease_key {
  std::string host;
  std::uint64_t boot = 0;
  std::uint64_t number = 0;

  auto operator<=>(const lease_key&) const = default;
};

class lease_table {
 public:
  /// Notes the boot of a message's sender.
  /// @return Leases of the host's previous boot, which are removed: the process
  /// that held them has ended.
  [[nodiscard]] std::vector<lease_key> ObserveBoot(const std::string& host,
                                                   std::uint64_t boot);

  /// Adds a lease.
  /// @return False if it exists, belongs to a boot that has ended, or exceeds a
  /// limit.
  [[nodiscard]] bool TryAdd(const lease_key& key, time_point now);

  /// Records a message about a lease.
  /// @return False if there is no such lease.
  bool Touch(const lease_key& key, time_point now);

  /// Reserves memory for a batch of statements.
  [[nodiscard]] bool TryReserve(const lease_key& key, std::size_t bytes);

  /// Returns the memory that a lease has reserved.
  void ReleaseBytes(const lease_key& key);

  void Remove(const lease_key& key);

  /// Returns the leases without a message for a time span.
  [[nodiscard]] std::vector<lease_key> FindExpired(time_point now,
                                                   duration timeout) const;

  [[nodiscard]] std::size_t Size() const noexcept { return leases_.size(); }

 private:
  struct lease_record {
    time_point last_message_at;
    std::size_t bytes = 0;
  };
  struct host_record {
    std::uint64_t boot = 0;
    std::uint64_t previous_boot = 0;
    std::size_t leases = 0;
    std::size_t bytes = 0;
  };

  std::map<lease_key, lease_record> leases_;
  std::map<std::string, host_record, std::less<>> hosts_;
  std::size_t bytes_ = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_LEASE_TABLE_H_
