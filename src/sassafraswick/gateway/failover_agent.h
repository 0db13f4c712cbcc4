#ifndef SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/gateway/fleet_agent.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Monitors all groups and replaces failed primaries while this host holds the
/// failover lease.

namespace sassafraswick {

/// Interval between checks of a group.
inline constexpr duration kFailoverCheckInterval =
    std::chrono::milliseconds(50);
/// Interval between status requests to a primary that has not responded for
/// that long, to an instance that is unresponsive or whose replication is
/// paused, and to all instances of a group that may need a new primary.
inline constexpr duration kPrimaryStatusInterval =
    std::chrono::milliseconds(150);
/// Interval between status requests to each instance of a healthy group.
inline constexpr duration kHealthyGroupStatusInterval =
    std::chrono::milliseconds(800);

template <gateway_platform Platform>
class failover_agent {
 public:
  using codec = typename Platform::codec;
  using group_pointer = std::shared_ptr<target_group<codec>>;
  using target_pointer = typename target_group<codec>::target_pointer;

  failover_agent(const Platform& platform, gateway_state<codec>& gateway,
                 fleet_agent<Platform>& fleet)
      : platform_(platform), gateway_(gateway), fleet_(fleet) {}

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run() {
    while (true) {
      co_await Sleep(kFailoverCheckInterval);
      const time_point now = monotonic_clock::now();
      if (!fleet_.HoldsFailover(now)) {
        watched_.clear();
        continue;
      }
      for (const std::pair<const std::string, group_pointer>& entry :
           gateway_.groups) {
        CheckGroup(entry.second, now);
      }
    }
  }

 private:
  /// State of one monitored group.
  struct watched_group {
    replacement_state state;
    /// When each instance was last sent a status request.
    std::map<std::string, time_point> status_requested_at;
  };

  void CheckGroup(const group_pointer& group, time_point now) {
    watched_group& watched = watched_[group->Name()];
    QueryDueInstances(group, watched, now);
    const replacement_phase previous_phase = watched.state.phase;
    const std::vector<replacement_action> actions =
        AdvanceReplacement(watched.state, group->Health(), settings_, now);
    LogPhase(*group, watched.state, previous_phase);
    for (const replacement_action& action : actions) {
      Spawn(gateway_.context, "group",
            [this, group, action] { return ExecuteAction(group, action); });
    }
  }

  /// Sends status requests to instances whose last status is too old.
  void QueryDueInstances(const group_pointer& group, watched_group& watched,
                         time_point now) {
    const bool needs_frequent_status =
        watched.state.phase != replacement_phase::kWatching ||
        MayBeCutOff(watched.state, settings_, now) ||
        group->View().primary.empty();
    for (const target_pointer& target : group->Targets()) {
      const bool is_primary = target->record.id == group->View().primary;
      time_point& status_requested_at =
          watched.status_requested_at[target->record.id];
      const bool primary_is_unresponsive =
          is_primary && now - target->answered_at > kPrimaryStatusInterval;
      const duration interval = needs_frequent_status ||
                                        primary_is_unresponsive ||
                                        IsUncertain(*target)
                                    ? kPrimaryStatusInterval
                                    : kHealthyGroupStatusInterval;
      if (now - status_requested_at < interval) {
        continue;
      }
      status_requested_at = now;
      group->RequestStatusInBackground(target);
    }
  }

  static bool IsUncertain(const target_state<codec>& target) {
    return target.health.silent_since.has_value() ||
           (target.health.status.has_value() &&
            target.health.status->paused_term != 0);
  }

  void LogPhase(const target_group<codec>& group,
                const replacement_state& state,
                replacement_phase previous_phase) {
    if (state.phase == previous_phase) {
      return;
    }
    Log(log_level::kInfo, "replacement",
        {{"pool", group.Name()},
         {"phase", std::string(PhaseName(state.phase))},
         {"cause", std::string(CauseName(state.cause))},
         {"primary", state.primary},
         {"term", std::to_string(state.term)},
         {"chosen", state.chosen}});
  }

  boost::asio::awaitable<void> ExecuteAction(group_pointer group,
                                             replacement_action action) {
    if (action.kind == replacement_action_kind::kPromote) {
      co_await Promote(group, action);
      co_return;
    }
    const target_pointer target = group->Find(action.instance);
    if (target == nullptr) {
      co_return;
    }
    const std::optional<instance_status> status = co_await group->SendControl(
        target, StatementOf(action.kind), action.term);
    const auto watched = watched_.find(group->Name());
    if (status.has_value() && watched != watched_.end()) {
      const replacement_phase previous_phase = watched->second.state.phase;
      RecordFenced(watched->second.state, group->Health(), action, *status,
                   monotonic_clock::now());
      LogPhase(*group, watched->second.state, previous_phase);
    }
  }

  boost::asio::awaitable<void> Promote(group_pointer group,
                                       replacement_action action) {
    // A promotion that is sent after the lease ended could arrive after one of
    // the next holder.
    if (!fleet_.HoldsFailover(monotonic_clock::now())) {
      co_return;
    }
    ++gateway_.counters.promotions;
    const std::int64_t token =
        ToFencingToken(fleet_.Registry().failover.fencing_token);
    const result<bool> accepted = co_await platform_.Promote(
        gateway_.context.get_executor(), group->Name(), action.instance,
        fleet_.Host(), token);
    Log(log_level::kInfo, "promotion",
        {{"pool", group->Name()},
         {"target", action.instance},
         {"token", std::to_string(token)},
         {"outcome", accepted ? (accepted.value() ? "accepted" : "not running")
                              : accepted.error().message}});
    const auto watched = watched_.find(group->Name());
    if (watched != watched_.end()) {
      RecordPromoted(watched->second.state, action,
                     accepted && accepted.value(), monotonic_clock::now());
    }
  }

  static control_statement StatementOf(replacement_action_kind kind) {
    switch (kind) {
      case replacement_action_kind::kStepDown:
        return control_statement::kStepDown;
      case replacement_action_kind::kPauseReplication:
        return control_statement::kPauseReplication;
      default:
        return control_statement::kResumeReplication;
    }
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  fleet_agent<Platform>& fleet_;
  replacement_settings settings_;
  std::map<std::string, watched_group> watched_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
