#include "sassafraswick/gateway/report.h"

#include <string_view>

#include "sassafraswick/core/log.h"

namespace sassafraswick {
namespace {

void AddLine(std::string& text, std::string_view name, std::uint64_t value) {
  text += "sassafraswick_";
  text += name;
  text += ' ';
  text += std::to_string(value);
  text += '\n';
}

void AddHistogram(std::string& text, const std::string& name,
                  const latency_histogram& histogram) {
  duration bound = latency_histogram::kFirstBound;
  std::uint64_t cumulative_count = 0;
  for (int i = 0; i < latency_histogram::kBuckets; ++i) {
    cumulative_count += histogram.counts[i];
    const bool last = i + 1 == latency_histogram::kBuckets;
    const std::string upper_bound =
        last ? "+Inf" : std::to_string(ToMilliseconds(bound));
    std::string label = name;
    label += "_bucket{le_ms=\"";
    label += upper_bound;
    label += "\"}";
    AddLine(text, label, cumulative_count);
    bound *= 2;
  }
  AddLine(text, name + "_count", histogram.total);
  AddLine(text, name + "_sum_us",
          static_cast<std::uint64_t>(histogram.sum.count()));
}

}  // namespace

std::string CountersText(const gateway_counters& counters) {
  std::string text;
  AddLine(text, "sessions", counters.sessions);
  AddLine(text, "statements", counters.statements);
  AddLine(text, "statements_in_flight", counters.statements_in_flight);
  AddLine(text, "reads_on_replica", counters.reads_on_replica);
  AddLine(text, "reads_on_primary", counters.reads_on_primary);
  AddLine(text, "writes", counters.writes);
  AddLine(text, "status_questions", counters.status_questions);
  AddLine(text, "connections_opened", counters.connections_opened);
  AddLine(text, "store_calls", counters.store_calls);
  AddLine(text, "promotions", counters.promotions);
  AddLine(text, "unproved_promotions", counters.unproved_promotions);
  AddLine(text, "retries", counters.retries);
  AddLine(text, "hedged_reads", counters.hedged_reads);
  AddLine(text, "leases_requested", counters.leases_requested);
  AddLine(text, "home_failovers", counters.home_failovers);
  AddLine(text, "batches_sent_home", counters.batches_sent_home);
  AddLine(text, "connections_lent", counters.connections_lent);
  AddLine(text, "lend_rejections", counters.lend_rejections);
  AddLine(text, "leases_expired", counters.leases_expired);
  AddLine(text, "present_leases", counters.present_leases);
  AddLine(text, "home_connections", counters.home_connections);
  AddLine(text, "log_lines_left_out", LogLinesDropped());
  for (const std::pair<const std::string, std::uint64_t>& failure :
       counters.failures) {
    AddLine(text, "failures{reason=\"" + failure.first + "\"}", failure.second);
  }
  for (const std::pair<const std::string, traffic_count>& kind :
       counters.between_zones.Counts()) {
    const std::string label = "{kind=\"" + kind.first + "\"}";
    AddLine(text, "zone_crossing_messages" + label, kind.second.messages);
    AddLine(text, "zone_crossing_bytes" + label, kind.second.bytes);
  }
  for (const std::pair<const std::string, std::uint64_t>& failure :
       counters.lease_failures) {
    AddLine(text, "lease_failures{reason=\"" + failure.first + "\"}",
            failure.second);
  }
  AddHistogram(text, "read_latency", counters.read_latency);
  AddHistogram(text, "write_latency", counters.write_latency);
  return text;
}

}  // namespace sassafraswick
