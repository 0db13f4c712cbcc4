#ifndef SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_
#define SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/fleet/hub_monitor.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/rate_limiter.h"
#include "sassafraswick/gateway/target_group.h"

/// @file
/// The tables that all sessions of a host share.

namespace sassafraswick {

template <session_codec Codec>
struct gateway_state {
  gateway_state(boost::asio::io_context& io, std::string zone,
                rate_environment rates)
      : context(io),
        availability_zone(std::move(zone)),
        limiter(io.get_executor(), WithContacts(std::move(rates))) {}

  boost::asio::io_context& context;
  /// Where this host stands.
  std::string availability_zone;
  /// Which hubs of the fleet answer; the limiter refers to it.
  hub_monitor contacts;
  std::shared_ptr<const catalog> tables;
  std::map<std::string, std::shared_ptr<target_group<Codec>>, std::less<>>
      groups;
  /// Instances of pools that no configuration named yet.
  std::map<std::string, target_record> unplaced;
  rate_limiter limiter;
  gateway_counters counters;
  /// Asks another host for a group's proof, see `target_group`.
  std::function<bool(const std::string& pool)> proof_source;
  std::uint32_t host_count = 1;
  /// Set once the host was told to stop.
  std::optional<time_point> draining_since;
  /// Time by which a stopping host ends transactions.
  duration drain_transactions = std::chrono::seconds(3);

  rate_environment WithContacts(rate_environment rates) {
    rates.contacts = &contacts;
    return rates;
  }

  [[nodiscard]] std::shared_ptr<target_group<Codec>> FindGroup(
      const std::string& pool) const {
    const auto found = groups.find(pool);
    return found == groups.end() ? nullptr : found->second;
  }

  /// Takes over a newer configuration.
  void Install(std::shared_ptr<const catalog> version) {
    tables = std::move(version);
    for (const std::pair<const std::string, catalog_pool>& entry :
         tables->pools) {
      std::shared_ptr<target_group<Codec>>& group = groups[entry.first];
      if (group == nullptr) {
        group = std::make_shared<target_group<Codec>>(
            context, entry.first, availability_zone, counters);
        group->SetProofSource(proof_source);
      }
      group->SetSyncReplicas(entry.second.sync_replicas);
      group->SetBudget(entry.second.max_connections, host_count);
    }
    for (auto each = unplaced.begin(); each != unplaced.end();) {
      const std::shared_ptr<target_group<Codec>> group =
          FindGroup(each->second.pool);
      if (group == nullptr) {
        ++each;
        continue;
      }
      group->Update(each->second);
      each = unplaced.erase(each);
    }
  }

  void SetHostCount(std::uint32_t count) {
    host_count = count;
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      const auto pool = tables->pools.find(entry.first);
      if (pool != tables->pools.end()) {
        entry.second->SetBudget(pool->second.max_connections, count);
      }
    }
  }

  void PlaceTarget(const target_record& record) {
    const std::shared_ptr<target_group<Codec>> group = FindGroup(record.pool);
    if (group == nullptr) {
      unplaced[record.id] = record;
    } else {
      group->Update(record);
    }
  }

  void RemoveTarget(const std::string& id) {
    unplaced.erase(id);
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      entry.second->Unlist(id);
    }
  }
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_
