#ifndef SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_
#define SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/fleet/hub_monitor.h"
#include "sassafraswick/gateway/connection_borrower.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/rate_limiter.h"
#include "sassafraswick/gateway/target_group.h"
#include "sassafraswick/lending/home_directory.h"
#include "sassafraswick/limits/memory_budget.h"
#include "sassafraswick/routing/attempt.h"
#include "sassafraswick/routing/response_times.h"
#include "sassafraswick/session/shutdown_schedule.h"

/// @file
/// State that all sessions of a host share.

namespace sassafraswick {

template <session_codec Codec>
struct gateway_state {
  gateway_state(boost::asio::io_context& io, std::string zone,
                rate_limiter_environment environment)
      : context(io),
        availability_zone(std::move(zone)),
        limiter(io.get_executor(), AddHubs(std::move(environment))),
        borrower(std::make_shared<connection_borrower>(io.get_executor(),
                                                       counters)) {}

  boost::asio::io_context& context;
  std::string availability_zone;
  /// Tracks which hubs respond. Must outlive `limiter`, which keeps a pointer
  /// to it.
  hub_monitor hubs;
  std::shared_ptr<const catalog> current_catalog;
  std::map<std::string, std::shared_ptr<target_group<Codec>>, std::less<>>
      groups;
  /// Targets whose pool is not in the configuration yet, by target id.
  std::map<std::string, target_record> unassigned_targets;
  rate_limiter limiter;
  /// Hosts that hold the connections to instances which hosts share.
  home_directory homes;
  gateway_counters counters;
  /// Borrows connections from other hosts.
  std::shared_ptr<connection_borrower> borrower;
  /// Zones whose instances receive no more statements.
  evacuated_zones evacuated;
  /// Response times of reads at all instances.
  response_times read_times;
  /// Limits the reads that run on a second instance as well.
  retry_budget hedge_budget;
  /// Requests a proof of leadership of a pool's primary from the pool's proof
  /// collector; see `target_group::SetProofSource`.
  std::function<bool(const std::string& pool)> proof_source;
  /// Returns when the list of targets was last current.
  std::function<time_point()> targets_current_at;
  /// What the sessions hold for their callers.
  memory_budget held{std::numeric_limits<std::size_t>::max()};
  /// Closes a session that holds too much.
  std::function<void(session_number)> close_session;
  std::uint32_t host_count = 1;
  /// Time after which a leaving instance gets no more requests.
  duration leave_within = kDefaultLeaveWithin;
  /// Empty while the host runs normally.
  std::optional<shutdown_schedule> shutdown;

  rate_limiter_environment AddHubs(rate_limiter_environment environment) {
    environment.hubs = &hubs;
    return environment;
  }

  [[nodiscard]] std::shared_ptr<target_group<Codec>> FindGroup(
      const std::string& pool) const {
    const auto found = groups.find(pool);
    return found == groups.end() ? nullptr : found->second;
  }

  /// Closes sessions until the others are within the budget.
  void CloseExcess() {
    std::optional<memory_budget::holder_id> excess = held.FindExcess();
    while (excess.has_value()) {
      held.Remove(*excess);
      ++counters.sessions_closed_for_memory;
      close_session(*excess);
      excess = held.FindExcess();
    }
  }

  /// Records a read that an instance has served.
  void RecordRead(target_group<Codec>& group, target_state<Codec>& target,
                  const catalog_route& route, duration took) {
    group.ObserveServed(target, StatementClassOf(route, false), took);
    const bool on_primary = target.record.id == group.View().primary;
    ++(on_primary ? counters.reads_on_primary : counters.reads_on_replica);
    counters.read_latency.Record(took);
  }

  /// Installs a newer configuration: creates missing groups, updates the limits
  /// of all groups in it and assigns targets that waited for their pool.
  void InstallCatalog(std::shared_ptr<const catalog> version) {
    current_catalog = std::move(version);
    for (const std::pair<const std::string, catalog_pool>& entry :
         current_catalog->pools) {
      std::shared_ptr<target_group<Codec>>& group = groups[entry.first];
      if (group == nullptr) {
        group = std::make_shared<target_group<Codec>>(
            context, entry.first, availability_zone, counters);
        group->SetProofSource(proof_source);
        group->SetTargetsCurrentAt(targets_current_at);
        group->SetHomes(homes, *borrower);
        group->SetEvacuatedZones(evacuated);
        group->SetLeaveWithin(leave_within);
      }
      group->SetSyncReplicas(entry.second.sync_replicas);
      group->SetBudget(entry.second.max_connections, host_count);
    }
    for (auto each = unassigned_targets.begin();
         each != unassigned_targets.end();) {
      const std::shared_ptr<target_group<Codec>> group =
          FindGroup(each->second.pool);
      if (group == nullptr) {
        ++each;
        continue;
      }
      group->Update(each->second);
      each = unassigned_targets.erase(each);
    }
  }

  /// Updates the counters that describe this host as a home.
  void CountHomeConnections() {
    counters.home_connections = 0;
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      counters.home_connections += entry.second->CountAsHome();
    }
  }

  /// Updates this host's share of the connection limits after the number of
  /// hosts changed.
  void SetHostCount(std::uint32_t count) {
    host_count = count;
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      const auto pool = current_catalog->pools.find(entry.first);
      if (pool != current_catalog->pools.end()) {
        entry.second->SetBudget(pool->second.max_connections, count);
      }
    }
  }

  void UpdateTarget(const target_record& record) {
    const std::shared_ptr<target_group<Codec>> group = FindGroup(record.pool);
    if (group == nullptr) {
      unassigned_targets[record.id] = record;
    } else {
      group->Update(record);
    }
  }

  /// Applies a change of `evacuated` to all instances.
  void ApplyEvacuation() {
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      entry.second->SetEvacuatedZones(evacuated);
    }
  }

  /// Records that an entry names another process at a target's address.
  void MarkTargetReplaced(const std::string& id, const std::string& successor) {
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      entry.second->MarkReplaced(id, successor);
    }
  }

  /// @param missing_since When the target's entry disappeared.
  void RemoveTarget(const std::string& id, time_point missing_since) {
    unassigned_targets.erase(id);
    for (const std::pair<const std::string,
                         std::shared_ptr<target_group<Codec>>>& entry :
         groups) {
      entry.second->Unlist(id, missing_since);
    }
  }
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_GATEWAY_STATE_H_
