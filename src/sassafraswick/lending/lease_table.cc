#include "sassafraswick/lending/lease_table.h"

namespace sassafraswick {

std::vector<lease_key> lease_table::ObserveBoot(const std::string& host,
                                                std::uint64_t boot) {
  std::vector<lease_key> ended;
  host_record& record = hosts_[host];
  if (record.boot == boot || record.previous_boot == boot) {
    return ended;
  }
  record.previous_boot = record.boot;
  record.boot = boot;
  for (const std::pair<const lease_key, lease_record>& entry : leases_) {
    if (entry.first.host == host) {
      ended.push_back(entry.first);
    }
  }
  for (const lease_key& key : ended) {
    Remove(key);
  }
  return ended;
}

bool lease_table::TryAdd(const lease_key& key, time_point now) {
  host_record& host = hosts_[key.host];
  const bool is_allowed = key.boot == host.boot &&
                          host.leases < kMaxLeasesPerHost &&
                          leases_.size() < kMaxLeases;
  if (!is_allowed || leases_.contains(key)) {
    return false;
  }
  leases_[key].last_message_at = now;
  ++host.leases;
  return true;
}

bool lease_table::Touch(const lease_key& key, time_point now) {
  const auto found = leases_.find(key);
  if (found == leases_.end()) {
    return false;
  }
  found->second.last_message_at = now;
  return true;
}

bool lease_table::TryReserve(const lease_key& key, std::size_t bytes) {
  const auto found = leases_.find(key);
  host_record& host = hosts_[key.host];
  if (found == leases_.end() || host.bytes + bytes > kMaxLentBytesPerHost ||
      bytes_ + bytes > kMaxLentBytes) {
    return false;
  }
  found->second.bytes += bytes;
  host.bytes += bytes;
  bytes_ += bytes;
  return true;
}

void lease_table::ReleaseBytes(const lease_key& key) {
  const auto found = leases_.find(key);
  if (found != leases_.end()) {
    hosts_[key.host].bytes -= found->second.bytes;
    bytes_ -= found->second.bytes;
    found->second.bytes = 0;
  }
}

void lease_table::Remove(const lease_key& key) {
  ReleaseBytes(key);
  if (leases_.erase(key) > 0) {
    --hosts_[key.host].leases;
  }
}

std::vector<lease_key> lease_table::FindExpired(time_point now,
                                                duration timeout) const {
  std::vector<lease_key> expired;
  for (const std::pair<const lease_key, lease_record>& entry : leases_) {
    if (now - entry.second.last_message_at > timeout) {
      expired.push_back(entry.first);
    }
  }
  return expired;
}

}  // namespace sassafraswick
