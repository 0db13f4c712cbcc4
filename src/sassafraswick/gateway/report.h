#ifndef SASSAFRASWICK_GATEWAY_REPORT_H_
#define SASSAFRASWICK_GATEWAY_REPORT_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <utility>

#include "sassafraswick/gateway/gateway.h"

/// @file
/// Reports a gateway's counters and state to operators. Contains no keys and no
/// statement text.

namespace sassafraswick {

/// Formats counters and histograms, one `name value` pair per line.
[[nodiscard]] std::string CountersText(const gateway_counters& counters);

template <gateway_platform Platform>
[[nodiscard]] std::string MetricsText(const gateway<Platform>& process) {
  return CountersText(process.State().counters);
}

/// Describes a group as JSON.
template <session_codec Codec>
[[nodiscard]] boost::json::object DescribeGroup(
    const target_group<Codec>& group) {
  const time_point now = monotonic_clock::now();
  const primary_view& view = group.View();
  boost::json::object described;
  described["term"] = view.term;
  described["primary"] = view.primary;
  described["permitted"] =
      IsPrimaryLeaseValid(view, view.primary, view.term, now);
  boost::json::array instances;
  for (const std::shared_ptr<target_state<Codec>>& target : group.Targets()) {
    boost::json::object instance;
    instance["id"] = target->record.id;
    instance["address"] = FormatEndpoint(target->record.address);
    instance["availability_zone"] = target->record.availability_zone;
    instance["listed"] = target->listed;
    instance["leaving"] = target->record.leaving;
    instance["evacuated"] = target->evacuated_since.has_value();
    instance["idle"] = target->idle.size();
    instance["busy"] = target->busy;
    instance["latency_ms"] = ToMilliseconds(target->latency);
    instances.push_back(instance);
  }
  described["instances"] = instances;
  return described;
}

/// Describes the state of the process as JSON.
template <gateway_platform Platform>
[[nodiscard]] std::string DumpText(const gateway<Platform>& process) {
  using codec = typename Platform::codec;
  boost::json::object dump;
  dump["host"] = process.Settings().host;
  dump["ready"] = process.IsReady();
  dump["configuration"] = process.State().current_catalog == nullptr
                              ? std::uint64_t{0}
                              : process.State().current_catalog->version;
  dump["sessions"] = process.State().counters.sessions;
  dump["store_era"] = process.Fleet().StoreEra();
  boost::json::array evacuated;
  for (const std::string& zone : process.State().evacuated.Names()) {
    evacuated.push_back(boost::json::value(zone));
  }
  dump["evacuated_zones"] = evacuated;
  dump["failover_holder"] = process.Fleet().Registry().failover.holder;
  boost::json::array hosts;
  for (const std::string& name : process.Fleet().Registry().names) {
    hosts.push_back(boost::json::value(name));
  }
  dump["hosts"] = hosts;
  boost::json::array lenders;
  for (const home_candidate& each :
       HomeCandidates(process.Fleet().Registry())) {
    lenders.push_back(boost::json::value(each.host));
  }
  dump["lenders"] = lenders;
  boost::json::object groups;
  for (const std::pair<const std::string, std::shared_ptr<target_group<codec>>>&
           entry : process.State().groups) {
    groups[entry.first] = DescribeGroup(*entry.second);
  }
  dump["pools"] = groups;
  return boost::json::serialize(dump);
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_REPORT_H_
