#include "sassafraswick/proxy/dump.h"

#include <sys/resource.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sassafraswick {
namespace {

namespace json = boost::json;

json::object LatencyObject(const latency_metric& metric) {
  return {{"count", metric.Count()},
          {"mean_ms", metric.MeanMilliseconds()},
          {"p50_ms", metric.QuantileMilliseconds(0.5)},
          {"p95_ms", metric.QuantileMilliseconds(0.95)},
          {"p99_ms", metric.QuantileMilliseconds(0.99)},
          {"max_ms", metric.MaxMilliseconds()}};
}

json::object CountsObject(const pool_counts& counts) {
  return {{"reads_on_replica", counts.reads_on_replica},
          {"reads_on_primary", counts.reads_on_primary},
          {"writes", counts.writes},
          {"refused", counts.refused},
          {"outcome_unknown", counts.outcome_unknown},
          {"promotions", counts.promotions},
          {"retries", counts.retries}};
}

json::object PoolSummary(target_pool& pool) {
  const std::optional<instance_index> primary = FindPrimary(pool.Group());
  json::object summary = CountsObject(pool.Counts());
  summary["term"] = CurrentTerm(pool.Group());
  summary["primary"] = primary.has_value()
                           ? json::value(FormatEndpoint(
                                 pool.Group().instances[*primary].address))
                           : json::value(nullptr);
  summary["waiting"] = pool.Table().waiting_count;
  return summary;
}

json::object OrganisationsObject(const host_metrics& metrics) {
  json::object organisations;
  for (const std::pair<const std::string, organisation_metrics>& entry :
       metrics.organisations) {
    organisations[entry.first] =
        json::object{{"admitted", entry.second.admitted},
                     {"refused_by_limit", entry.second.refused_by_limit},
                     {"refused_by_load", entry.second.refused_by_load},
                     {"latency", LatencyObject(entry.second.latency)}};
  }
  return organisations;
}

/// CPU time and peak memory of this process.
json::object ProcessObject() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double user =
      static_cast<double>(usage.ru_utime.tv_sec) +
      static_cast<double>(usage.ru_utime.tv_usec) / kMicrosecondsPerSecond;
  const double system =
      static_cast<double>(usage.ru_stime.tv_sec) +
      static_cast<double>(usage.ru_stime.tv_usec) / kMicrosecondsPerSecond;
  return {{"user_seconds", user},
          {"system_seconds", system},
          {"max_resident_kb", usage.ru_maxrss}};
}

json::object StatusObject(host_runtime& runtime) {
  const std::shared_ptr<const configuration>& current = runtime.Configuration();
  json::object pools;
  for (const std::pair<const std::string, std::shared_ptr<target_pool>>& entry :
       runtime.Pools()) {
    pools[entry.first] = PoolSummary(*entry.second);
  }
  return {
      {"host", runtime.Settings().host},
      {"availability_zone", runtime.Settings().availability_zone},
      {"configuration_version", current == nullptr
                                    ? json::value(nullptr)
                                    : json::value(current->version)},
      {"draining", runtime.IsDraining()},
      {"sessions", runtime.SessionCount()},
      {"sessions_opened", runtime.Metrics().sessions_opened},
      {"authentication_failures", runtime.Metrics().authentication_failures},
      {"protocol_errors", runtime.Metrics().protocol_errors},
      {"sessions_ended_by_withdrawal",
       runtime.Metrics().sessions_ended_by_withdrawal},
      {"sessions_refused", runtime.Metrics().sessions_refused},
      {"sessions_closed_for_memory",
       runtime.Metrics().sessions_closed_for_memory},
      {"sessions_closed_for_slowness",
       runtime.Metrics().sessions_closed_for_slowness},
      {"pools", std::move(pools)},
      {"organisations", OrganisationsObject(runtime.Metrics())},
      {"live_hosts", LiveHosts(runtime.Fleet()).size()},
      {"sees_majority", SeesMajority(runtime.Fleet())},
      {"peer_messages_sent", runtime.Metrics().peer_messages},
      {"peer_bytes_sent", runtime.Metrics().peer_bytes},
      {"isolated", runtime.IsIsolated(monotonic_clock::now())},
      {"process", ProcessObject()}};
}

json::value AgeMilliseconds(time_point at, time_point now) {
  return at == time_point() ? json::value(nullptr)
                            : json::value(ToMilliseconds(now - at));
}

json::object InstanceObject(const instance_entry& instance, time_point now) {
  constexpr const char* kContacts[] = {"never", "answered", "silent",
                                       "refused"};
  json::object object{
      {"address", FormatEndpoint(instance.address)},
      {"availability_zone", instance.availability_zone},
      {"leaving", instance.leaving},
      {"contact", kContacts[static_cast<int>(instance.last_contact)]},
      {"answered_ms_ago", AgeMilliseconds(instance.answered_at, now)}};
  if (instance.report.has_value()) {
    const instance_report& report = *instance.report;
    object["role"] =
        report.role == instance_role::kPrimary ? "primary" : "replica";
    object["term"] = report.term;
    object["log_term"] = report.log_end.term;
    object["received"] = report.log_end.position;
    object["applied"] = report.applied;
    object["lag_ms"] = ToMilliseconds(report.lag);
  }
  return object;
}

json::object PoolObject(target_pool& pool, time_point now) {
  json::object object = PoolSummary(pool);
  json::array instances;
  for (instance_index i = 0; i < pool.Group().instances.size(); ++i) {
    json::object instance = InstanceObject(pool.Group().instances[i], now);
    const connection_counts& counts = pool.Table().connections[i];
    instance["connections"] = json::object{{"idle", counts.idle},
                                           {"busy", counts.busy},
                                           {"opening", counts.opening},
                                           {"budget", counts.budget}};
    instances.push_back(std::move(instance));
  }
  json::object waiting;
  for (const std::pair<const std::string, std::deque<request_entry>>& entry :
       pool.Table().waiting) {
    waiting[entry.first] = entry.second.size();
  }
  const term_number term = CurrentTerm(pool.Group());
  object["instances"] = std::move(instances);
  object["waiting_by_organisation"] = std::move(waiting);
  object["durable_position"] = DurablePosition(pool.Group(), term);
  object["may_acknowledge"] = pool.MayAcknowledge(term);
  object["promotion_phase"] = static_cast<int>(pool.Failover().phase);
  object["service_time_ms"] = ToMilliseconds(pool.Table().service_time);
  return object;
}

json::object MembersObject(const membership& fleet, time_point now) {
  constexpr const char* kStates[] = {"alive", "suspected", "dead", "leaving"};
  json::object members;
  for (const std::pair<const std::string, member>& entry : fleet.members) {
    members[entry.first] =
        json::object{{"availability_zone", entry.second.availability_zone},
                     {"peers", FormatEndpoint(entry.second.peers)},
                     {"state", kStates[static_cast<int>(entry.second.state)]},
                     {"since_ms", AgeMilliseconds(entry.second.since, now)},
                     {"listed", entry.second.listed},
                     {"boot", entry.second.boot},
                     {"incarnation", entry.second.incarnation}};
  }
  return members;
}

json::array GrantorsArray(const grantor_shards& shards) {
  json::array grantors;
  for (std::uint32_t i = 0; i < kGrantorShardCount; ++i) {
    grantors.push_back(json::object{
        {"shard", i}, {"host", shards[i].host}, {"epoch", shards[i].epoch}});
  }
  return grantors;
}

json::object AllowancesObject(
    const std::map<std::string, token_allowance>& allowances, time_point now) {
  json::object object;
  for (const std::pair<const std::string, token_allowance>& entry :
       allowances) {
    object[entry.first] = json::object{{"shard", GrantorShardOf(entry.first)},
                                       {"unspent", Unspent(entry.second, now)},
                                       {"spent", entry.second.spent},
                                       {"waiting", entry.second.waiting}};
  }
  return object;
}

}  // namespace

std::string StatusJson(host_runtime& runtime) {
  return json::serialize(StatusObject(runtime));
}

std::string DumpJson(host_runtime& runtime) {
  const time_point now = monotonic_clock::now();
  json::object dump = StatusObject(runtime);
  json::object pools;
  for (const std::pair<const std::string, std::shared_ptr<target_pool>>& entry :
       runtime.Pools()) {
    pools[entry.first] = PoolObject(*entry.second, now);
  }
  dump["pools"] = std::move(pools);
  dump["members"] = MembersObject(runtime.Fleet(), now);
  dump["grantors"] = GrantorsArray(runtime.Limits().Shards());
  dump["allowances"] = AllowancesObject(runtime.Limits().Allowances(), now);
  if (runtime.Configuration() != nullptr) {
    json::object routes;
    for (const std::pair<const std::string, route>& entry :
         runtime.Configuration()->tables.routes) {
      routes[entry.first] = entry.second.pool;
    }
    dump["routes"] = std::move(routes);
    json::array keys;
    for (const std::pair<const std::string, key_record>& entry :
         runtime.Configuration()->keys) {
      keys.push_back(json::object{{"id", entry.first},
                                  {"organisation", entry.second.organisation}});
    }
    dump["keys"] = std::move(keys);
  }
  return json::serialize(dump);
}

}  // namespace sassafraswick
