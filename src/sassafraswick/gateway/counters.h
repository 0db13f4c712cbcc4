#ifndef SASSAFRASWICK_GATEWAY_COUNTERS_H_
#define SASSAFRASWICK_GATEWAY_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>

#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/zone_traffic.h"

/// @file
/// Counters and latency histograms of a host.

namespace sassafraswick {

/// Latency histogram. The last bucket has no upper bound.
struct latency_histogram {
  static constexpr int kBuckets = 14;
  /// Upper bound of the first bucket; each further bucket doubles it.
  static constexpr duration kFirstBound = std::chrono::microseconds(500);

  std::uint64_t counts[kBuckets] = {};
  std::uint64_t total = 0;
  duration sum = duration::zero();

  void Record(duration value) noexcept {
    duration bound = kFirstBound;
    int bucket = 0;
    while (bucket < kBuckets - 1 && value > bound) {
      bound *= 2;
      ++bucket;
    }
    ++counts[bucket];
    ++total;
    sum += value;
  }
};

struct gateway_counters {
  std::uint64_t sessions = 0;
  std::uint64_t statements = 0;
  /// Statements that were read and not answered yet.
  std::uint64_t statements_in_flight = 0;
  std::uint64_t reads_on_replica = 0;
  std::uint64_t reads_on_primary = 0;
  std::uint64_t writes = 0;
  std::uint64_t status_questions = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t promotions = 0;
  /// Promotions of instances that may lack acknowledged writes.
  std::uint64_t unproved_promotions = 0;
  std::uint64_t retries = 0;
  /// Reads that also ran on a second instance, as the first one was late.
  std::uint64_t hedged_reads = 0;
  /// Requests for a connection that were sent to homes, and those that went to
  /// the next home.
  std::uint64_t leases_requested = 0;
  std::uint64_t home_failovers = 0;
  /// Batches of statements that were sent to homes.
  std::uint64_t batches_sent_home = 0;
  /// Leases of connections that gave no result, by reason.
  std::map<std::string, std::uint64_t, std::less<>> lease_failures;
  /// As a home: connections lent, requests rejected, leases that expired.
  std::uint64_t connections_lent = 0;
  std::uint64_t lend_rejections = 0;
  std::uint64_t leases_expired = 0;
  /// As a home: present leases, and open connections.
  std::uint64_t present_leases = 0;
  std::uint64_t home_connections = 0;
  /// Responses other than success, by reason.
  std::map<std::string, std::uint64_t, std::less<>> failures;
  /// Received from peers, and exchanged with instances.
  zone_traffic between_zones;
  latency_histogram read_latency;
  latency_histogram write_latency;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_COUNTERS_H_
